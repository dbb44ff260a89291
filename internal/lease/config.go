// Package lease decides which instance acts for each lease slot, that is, decides
// on the requests and cold starts that belong to it. A lease term is the right to
// do so. The holder of a slot acts only under an unexpired grant of the successor;
// the successor takes the slot over only when its last grant to the holder has
// expired. A grant is made by one member to another and covers all slots of which
// they are successor and holder. A slot also changes its holder by a planned
// handover, is reclaimed by a new incarnation of its holder, and may be taken over
// by any eligible member if holder and successor are both removed. One object, the
// slot table, contains all slots and is written conditionally on its version.
package lease

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Key is the key of the object that contains the slot table.
const Key = "slots"

// Defaults of Config; docs/design.md D2 and D7 give the reasons.
const (
	DefaultLeaseDuration = 6 * time.Second
	DefaultLeaseMargin   = 300 * time.Millisecond
	DefaultWriterStagger = 300 * time.Millisecond
	DefaultSuspectAfter  = 3 * time.Second
	// DefaultRetryDelay is the pause after a write that failed or whose
	// answer was lost.
	DefaultRetryDelay = time.Second
	// DefaultEarlierRequestWindow is the longest request timeout that a service may
	// declare, 5 s, plus ClockSkewLimit.
	DefaultEarlierRequestWindow = 5250 * time.Millisecond
	// DefaultAnswerTimeout bounds the wait for the answer to a write.
	DefaultAnswerTimeout = 10 * time.Second
	// With DefaultRebalanceInterval and DefaultRebalanceBatch, a tenth instance
	// gets its share of about 7 slots within a minute, a few at a time.
	DefaultRebalanceInterval = 10 * time.Second
	DefaultRebalanceBatch    = 2
)

// Config holds the time limits and batch sizes of a Manager. Zero values are
// replaced by the defaults.
type Config struct {
	// LeaseDuration is how long the receiver of a grant may use it; the granting
	// instance waits LeaseMargin longer before it takes over. Both have to equal
	// those of membership.Config.
	LeaseDuration, LeaseMargin time.Duration
	// WriterStagger is the wait per rank before an instance writes the first
	// table or a slot whose holder and successor are both removed, and the
	// longest wait after a conflicting write.
	WriterStagger time.Duration
	// SuspectAfter is the grace period before a successor takes over, counted
	// from the expiry of its grants to a holder that may still reach other
	// members, and from the start of this instance or the end of a gap between
	// ticks. It is also the longest interval between ticks that does not count as
	// a gap, the wait before the first table, the age that a confirmation has to
	// be below for rebalancing, and the time beyond LeaseDuration after which a
	// successor without a grant is replaced.
	SuspectAfter time.Duration
	// RetryDelay is the longest pause after a write that failed or whose answer
	// was lost; the shortest is half of it.
	RetryDelay time.Duration
	// EarlierRequestWindow is the time from the start of a lease term within which
	// the deadlines of requests that a previous holder forwarded may still lie
	// ahead. After it, a holder may hand the slot over as clean without having
	// received the records of those requests.
	EarlierRequestWindow time.Duration
	// AnswerTimeout is the wait for the answer to a write, after which the
	// answer counts as lost.
	AnswerTimeout time.Duration
	// RebalanceInterval is the basis of the time between two rebalancings, which
	// is once to twice as long. RebalanceBatch is the maximum number of holders
	// and the maximum number of successors that each instance changes in one
	// rebalancing.
	RebalanceInterval time.Duration
	RebalanceBatch    int
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.LeaseDuration, DefaultLeaseDuration}, {&c.LeaseMargin, DefaultLeaseMargin},
		{&c.WriterStagger, DefaultWriterStagger}, {&c.SuspectAfter, DefaultSuspectAfter},
		{&c.RetryDelay, DefaultRetryDelay}, {&c.AnswerTimeout, DefaultAnswerTimeout},
		{&c.EarlierRequestWindow, DefaultEarlierRequestWindow},
		{&c.RebalanceInterval, DefaultRebalanceInterval},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if c.RebalanceBatch == 0 {
		c.RebalanceBatch = DefaultRebalanceBatch
	}
	return c
}

// Grants gives access to the grants that members make to each other by
// acknowledging heartbeats. It is implemented by *membership.Membership.
type Grants interface {
	// ReceivedGrantUntil returns the end of the grant that the current incarnation of
	// a member has made to this instance, zero if there is none.
	ReceivedGrantUntil(member string) time.Time
	// GivenGrantUntil returns the time until which any incarnation of a member may
	// act under grants of this instance, zero if there are none.
	GivenGrantUntil(member string) time.Time
	// SetGrantsStopped stops grants of this instance to a member, or resumes them if
	// stop is false. Grants already made stay valid until GivenGrantUntil.
	SetGrantsStopped(member string, stop bool)
}

// Term is the right of this instance to act for a slot.
type Term struct {
	// Start is when this instance learned that it holds the slot.
	Start time.Time
	// Until is when the right ends if nothing changes. Tick may move it either
	// way; Tick, Release and AdoptTable may end the right at once. Call CurrentTerm
	// before each use of the right and do not keep a Term.
	Until time.Time
	// Epoch is the epoch of the slot. It grows when the holder or its
	// incarnation changes.
	Epoch uint64
	// Clean is true if the previous holder handed over its complete request
	// records. If it is false, a previous holder may have forwarded requests
	// issued before Start.
	Clean bool
}

// TableError reports that a version of the slot table cannot be used or that a
// new table cannot be encoded.
type TableError struct {
	// Version is the unusable version or, if a new table cannot be encoded, the
	// version that it was to replace.
	Version uint64
	Reason  string
	Err     error
}

func (e *TableError) Error() string {
	return fmt.Sprintf("slot table version %d: %s", e.Version, e.Reason)
}

// Unwrap returns the cause, nil if there is none.
func (e *TableError) Unwrap() error { return e.Err }

// Stats counts events since the start of the instance. Takeovers, Handovers,
// Reclaims, SuccessorsReplaced and Bootstraps count plans; a change that is planned
// again, for example after a conflict, is counted again.
type Stats struct {
	// Writes counts all attempts to write the table, Applied, Conflicts and
	// Failed their known outcomes, and UnknownOutcomes the results without one.
	// Attempts that exceed AnswerTimeout are not in UnknownOutcomes, and results
	// of other writes than the pending one are not counted.
	Writes, Applied, Conflicts, UnknownOutcomes, Failed uint64
	// Takeovers counts planned takeovers by this instance, Handovers planned
	// handovers to another one, and Reclaims slots that a new incarnation
	// claimed for the same instance, each per slot.
	Takeovers, Handovers, Reclaims uint64
	// SuccessorsReplaced counts the slots whose successor was not eligible or
	// made no grants and was replaced, without those that rebalancing, a handover
	// or a takeover gave another successor. Bootstraps counts the first tables
	// that this instance began to write.
	SuccessorsReplaced, Bootstraps uint64
	// TableErrors counts the errors of the table, of which Err keeps the latest.
	TableErrors uint64
}

func cloneSlot(s *pb.Slot) *pb.Slot {
	return &pb.Slot{
		Epoch: s.GetEpoch(), Holder: s.GetHolder(), HolderIncarnation: s.GetHolderIncarnation(),
		Successor: s.GetSuccessor(), SuccessorIncarnation: s.GetSuccessorIncarnation(), Clean: s.GetClean(),
	}
}

func cloneTable(t *pb.SlotTable) *pb.SlotTable {
	out := &pb.SlotTable{Slots: make([]*pb.Slot, len(t.GetSlots()))}
	for i, s := range t.GetSlots() {
		out.Slots[i] = cloneSlot(s)
	}
	return out
}

func sameSlot(a, b *pb.Slot) bool {
	return a.GetEpoch() == b.GetEpoch() && a.GetHolder() == b.GetHolder() &&
		a.GetHolderIncarnation() == b.GetHolderIncarnation() && a.GetSuccessor() == b.GetSuccessor() &&
		a.GetSuccessorIncarnation() == b.GetSuccessorIncarnation() && a.GetClean() == b.GetClean()
}
