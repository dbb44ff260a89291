// Package lease decides which instance acts for each lease slot. A holder acts
// only under an unexpired grant of its successor; the successor takes over
// only when its last grant has expired. All slots are in one object, which is
// written conditionally.
package lease

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Key is the key of the object with the slot table.
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
	// DefaultUnknownWindow is the longest request timeout that a service may
	// declare, 5 s, plus ClockSkewLimit.
	DefaultUnknownWindow = 5250 * time.Millisecond
	// DefaultAnswerTimeout bounds the wait for the answer to a write.
	DefaultAnswerTimeout = 10 * time.Second
	// DefaultRebalanceInterval and DefaultRebalanceBatch move the 7 slots of
	// a tenth instance within a minute, a few at a time.
	DefaultRebalanceInterval = 10 * time.Second
	DefaultRebalanceBatch    = 2
)

// Config holds the limits of the leases. Zero values mean the defaults.
type Config struct {
	// LeaseDuration and LeaseMargin have to be those of the membership.
	LeaseDuration, LeaseMargin time.Duration
	// WriterStagger is the wait per rank before an instance writes a slot
	// that none of the live instances holds.
	WriterStagger time.Duration
	// SuspectAfter is the time for which a condition has to last before it
	// changes a slot whose other party still answers someone.
	SuspectAfter time.Duration
	// RetryDelay is the pause after a failed write.
	RetryDelay time.Duration
	// UnknownWindow is the time from the start of a tenure for which requests
	// may have been issued before.
	UnknownWindow time.Duration
	// AnswerTimeout is the time after which the answer to a write is taken as
	// lost.
	AnswerTimeout time.Duration
	// RebalanceInterval is the time between two voluntary changes, and
	// RebalanceBatch the number of slots that one of them moves.
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
		{&c.RetryDelay, DefaultRetryDelay}, {&c.AnswerTimeout, DefaultAnswerTimeout}, {&c.UnknownWindow, DefaultUnknownWindow},
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

// Grants is implemented by *membership.Membership.
type Grants interface {
	// GrantUntil tells until when the acknowledgements of the current
	// incarnation of a member let this instance act.
	GrantUntil(member string) time.Time
	// GrantedUntil tells until when a member may act on the acknowledgements
	// of this instance.
	GrantedUntil(member string) time.Time
	StopGrants(member string, stop bool)
}

// Tenure is the right of this instance to act for a slot.
type Tenure struct {
	// Start is when this instance learned that it holds the slot.
	Start time.Time
	// Until is when the right ends unless it is extended.
	Until time.Time
	Epoch uint64
	// Clean is true when the previous holder handed over its records. If it
	// is false, requests issued before Start may have been forwarded by a
	// previous holder.
	Clean bool
}

// TableError says that the slot table cannot be used.
type TableError struct {
	Version uint64
	Reason  string
	Err     error
}

func (e *TableError) Error() string {
	return fmt.Sprintf("slot table version %d: %s", e.Version, e.Reason)
}

// Unwrap returns the cause, nil if there is none.
func (e *TableError) Unwrap() error { return e.Err }

// Stats counts events since the start.
type Stats struct {
	Writes, Applied, Conflicts, Unknown, Failed uint64
	Takeovers, Handovers, Reclaims              uint64
	SuccessorsReplaced, Bootstraps              uint64
	TableErrors                                 uint64
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
