// Package placement decides which upstream a flow goes to: it plans the
// placement table of a service, compiles tables for the data path, and tracks
// the flows of buckets that are in transition between two upstreams.
package placement

import (
	"fmt"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

// MaxUpstreams is the maximum number of upstream names in one table: four times the
// number of buckets.
const MaxUpstreams = 4 * flow.BucketCount

// TableFault describes the fault of a placement table.
type TableFault string

// Faults of a placement table.
const (
	FaultNoService        TableFault = "service name is missing"
	FaultBucketCount      TableFault = "wrong number of buckets"
	FaultUpstreamIndex    TableFault = "upstream index is out of range"
	FaultUpstreamName     TableFault = "upstream name is missing or given twice"
	FaultChangeNumber     TableFault = "change number is zero or below a bucket's"
	FaultTooManyUpstreams TableFault = "too many upstreams"
	FaultNoTable          TableFault = "table is missing"
)

// TableError is returned for a placement table that was refused.
type TableError struct {
	Service string
	Fault   TableFault
	// Field is the name of the faulty field of the message. Index is the position
	// in it; for a wrong length or too many upstreams, the length found.
	Field string
	Index int
}

func (e *TableError) Error() string {
	return fmt.Sprintf("placement table of %q: %s (%s[%d])", e.Service, e.Fault, e.Field, e.Index)
}

// Table is an immutable placement table, safe for concurrent use.
type Table struct {
	service      string
	change       uint32
	revision     uint64
	upstreams    []string
	placements   [flow.BucketCount]bucketPlacement
	inTransition []uint32
}

// bucketPlacement is the placement of one bucket. owner and previous are indexes
// into upstreams plus 1, 0 for none; movedAt is the number of a table change, not a
// time.
type bucketPlacement struct {
	owner, previous uint16
	movedAt         uint32
}

// Lookup is the placement of one flow. A bucket that is not in transition is called
// settled.
type Lookup struct {
	Bucket uint32
	// Owner receives new flows once the transition is active; until then Previous
	// does. In a settled bucket, Owner receives every flow. It is empty if no upstream
	// can take new flows.
	Owner string
	// Previous receives flows without a record until the bucket has been tracked for
	// the idle timeout; empty in a settled bucket.
	Previous     string
	InTransition bool
	// MovedAt is the number of the table change, not the time, that moved the bucket
	// last.
	MovedAt uint32
}

// Compile validates a table and prepares it for lookups. revision is the store-wide
// revision of the object. The error is a *TableError.
func Compile(pt *pb.ServiceTable, revision uint64) (*Table, error) {
	if err := validate(pt); err != nil {
		return nil, err
	}
	t := &Table{
		service: pt.Service, change: pt.Change, revision: revision,
		upstreams: append([]string(nil), pt.Upstreams...),
	}
	for b := range t.placements {
		t.placements[b] = bucketPlacement{
			owner: uint16(pt.Owner[b]), previous: uint16(pt.Previous[b]), movedAt: pt.MovedAt[b],
		}
		if pt.Previous[b] != 0 {
			t.inTransition = append(t.inTransition, uint32(b))
		}
	}
	return t, nil
}

func validate(pt *pb.ServiceTable) error {
	if pt == nil {
		return &TableError{Fault: FaultNoTable}
	}
	fail := func(fault TableFault, field string, index int) error {
		return &TableError{Service: pt.Service, Fault: fault, Field: field, Index: index}
	}
	if pt.Service == "" {
		return fail(FaultNoService, "service", 0)
	}
	if len(pt.Upstreams) > MaxUpstreams {
		return fail(FaultTooManyUpstreams, "upstreams", len(pt.Upstreams))
	}
	seen := make(map[string]bool, len(pt.Upstreams))
	for i, name := range pt.Upstreams {
		if name == "" || seen[name] {
			return fail(FaultUpstreamName, "upstreams", i)
		}
		seen[name] = true
	}
	if pt.Change == 0 {
		return fail(FaultChangeNumber, "change", 0)
	}
	for _, f := range []struct {
		field  string
		values []uint32
		limit  uint32
		fault  TableFault
	}{
		{"owner", pt.Owner, uint32(len(pt.Upstreams)), FaultUpstreamIndex},
		{"previous", pt.Previous, uint32(len(pt.Upstreams)), FaultUpstreamIndex},
		{"moved_at", pt.MovedAt, pt.Change, FaultChangeNumber},
	} {
		if len(f.values) != flow.BucketCount {
			return fail(FaultBucketCount, f.field, len(f.values))
		}
		for b, v := range f.values {
			if v > f.limit {
				return fail(f.fault, f.field, b)
			}
		}
	}
	return nil
}

// Lookup returns the placement of a flow hash without allocating.
func (t *Table) Lookup(hash uint64) Lookup { return t.Bucket(flow.Bucket(hash)) }

// Bucket returns the placement of a bucket. It panics if bucket is not below
// flow.BucketCount.
func (t *Table) Bucket(bucket uint32) Lookup {
	s := t.placements[bucket]
	return Lookup{
		Bucket: bucket, Owner: t.upstreamName(s.owner), Previous: t.upstreamName(s.previous),
		InTransition: s.previous != 0, MovedAt: s.movedAt,
	}
}

func (t *Table) upstreamName(index uint16) string {
	if index == 0 {
		return ""
	}
	return t.upstreams[index-1]
}

// Service returns the name of the service as <team>/<service>.
func (t *Table) Service() string { return t.service }

// Change returns the version of the table within its service: 1 or more, raised by 1
// by each Plan that changes the table.
func (t *Table) Change() uint32 { return t.change }

// Revision returns the store-wide revision of the table's object.
func (t *Table) Revision() uint64 { return t.revision }

// BucketsInTransition returns the buckets in transition in ascending order. The
// result must not be modified.
func (t *Table) BucketsInTransition() []uint32 { return t.inTransition }
