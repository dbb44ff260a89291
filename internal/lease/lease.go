package lease

import (
	"math/rand/v2"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// slotState is what this instance keeps about a slot besides the table.
type slotState struct {
	// Tenure of this instance, if it is the holder.
	start, until time.Time
	epoch        uint64
	clean        bool
	// seenAt is when the holder or successor last changed here.
	seenAt time.Time
	// orphanSince is since when both parties are known to be forgotten.
	orphanSince time.Time
	// target is the instance that the slot is being handed to. This instance
	// does not act for the slot while it is set.
	target      string
	targetClean bool
	// handed is true once a handover was announced in this run. A later one
	// is not marked clean: the first announcement may still reach the target
	// and would be taken for the later one.
	handed   bool
	announce announcement
}

// announcement is a SlotHandover that this instance received.
type announcement struct {
	from        string
	incarnation uint64
	epoch       uint64 // epoch of the slot here when it was received
}

// stop records that this instance makes no grants to a former holder.
type stop struct {
	// incarnation is that of the holder in the table.
	incarnation uint64
	// revision is the one that the former holder has to report before it gets
	// grants again, 0 while the write is undecided. A former holder with an
	// older table would take a grant as one for the slots it lost.
	revision uint64
}

// Leases decides on the lease slots of one instance. It is not safe for
// concurrent use.
type Leases struct {
	cfg  Config
	self membership.Member
	rng  *rand.Rand

	table   *pb.SlotTable // nil when absent or unusable
	version uint64
	slots   [flow.LeaseSlots]slotState

	pending     *write
	nextWrite   time.Time
	changes     uint64
	stops       map[string]stop
	forgotten   map[string]bool
	startedAt   time.Time
	lastTick    time.Time
	resumedAt   time.Time
	absentSince time.Time
	nextBalance time.Time
	releasing   bool
	view        *membership.View
	lives       map[string]life
	grants      Grants
	err         error
	stats       Stats
}

// New returns leases without a table. The incarnation of self has to be the
// one used by the membership.
func New(cfg Config, self membership.Member, rng *rand.Rand) *Leases {
	return &Leases{
		cfg: cfg.withDefaults(), self: self, rng: rng,
		stops: map[string]stop{}, forgotten: map[string]bool{},
	}
}

// Adopt takes over the slot table with the version and revision of its
// object; nil stands for a deleted object. It has to be called before
// membership.SetLocal reports the revision.
func (l *Leases) Adopt(now time.Time, table *pb.SlotTable, version, revision uint64) {
	if version <= l.version {
		return
	}
	if l.pending != nil && version > l.pending.expected {
		// The write took effect or never will.
		l.pending = nil
	}
	for name, s := range l.stops {
		if s.revision == 0 {
			s.revision = revision
			l.stops[name] = s
		}
	}
	old := l.table
	l.version, l.table = version, table
	if table != nil && len(table.GetSlots()) != flow.LeaseSlots {
		l.stats.TableErrors++
		l.err = &TableError{Version: version, Reason: "wrong number of slots"}
		l.table = nil
	}
	for i := range l.slots {
		l.adoptSlot(now, i, entry(old, i), entry(l.table, i))
	}
}

func entry(t *pb.SlotTable, slot int) *pb.Slot {
	if t == nil {
		return nil
	}
	return t.GetSlots()[slot]
}

func (l *Leases) adoptSlot(now time.Time, slot int, old, e *pb.Slot) {
	s := &l.slots[slot]
	if e.GetHolder() != old.GetHolder() || e.GetSuccessor() != old.GetSuccessor() || s.seenAt.IsZero() {
		s.seenAt, s.orphanSince = now, time.Time{}
	}
	if !l.holds(e) {
		if e.GetEpoch() != old.GetEpoch() {
			s.announce = announcement{}
		}
		s.until, s.target = time.Time{}, ""
		return
	}
	if s.epoch == e.GetEpoch() && l.holds(old) {
		return
	}
	// The records count only if they came from the holder of the epoch just
	// before this one.
	a := s.announce
	s.clean = e.GetClean() && a.from != "" && a.from == old.GetHolder() &&
		a.incarnation == old.GetHolderIncarnation() && a.epoch == old.GetEpoch() && a.epoch+1 == e.GetEpoch()
	s.start, s.epoch, s.until = now, e.GetEpoch(), time.Time{}
	s.target, s.announce = "", announcement{}
}

// holds tells whether an entry names this run as the holder.
func (l *Leases) holds(e *pb.Slot) bool {
	return e != nil && e.GetHolder() == l.self.Name && e.GetHolderIncarnation() == l.self.Incarnation
}

// SetForgotten sets the instances that an operator stated to be gone for
// good.
func (l *Leases) SetForgotten(names []string) {
	clear(l.forgotten)
	for _, name := range names {
		l.forgotten[name] = true
	}
}

// HandleHandover notes that the records of slots were received from their
// holder.
func (l *Leases) HandleHandover(from string, incarnation uint64, slots []uint32) {
	for _, slot := range slots {
		if slot >= flow.LeaseSlots || l.holds(entry(l.table, int(slot))) {
			continue
		}
		l.slots[slot].announce = announcement{
			from: from, incarnation: incarnation, epoch: entry(l.table, int(slot)).GetEpoch(),
		}
	}
}

// Holder returns the instance to redirect to, "" if there is none.
func (l *Leases) Holder(slot int) string {
	if slot < 0 || slot >= flow.LeaseSlots {
		return ""
	}
	return entry(l.table, slot).GetHolder()
}

// Tenure tells whether this instance may act for a slot at now, and until
// when.
func (l *Leases) Tenure(slot int, now time.Time) (Tenure, bool) {
	if slot < 0 || slot >= flow.LeaseSlots || !l.holds(entry(l.table, slot)) {
		return Tenure{}, false
	}
	s := &l.slots[slot]
	if s.target != "" || !now.Before(s.until) {
		return Tenure{}, false
	}
	return Tenure{Start: s.start, Until: s.until, Epoch: s.epoch, Clean: s.clean}, true
}

// Held returns the number of slots that the table gives to this run.
func (l *Leases) Held() int {
	n := 0
	for i := range l.slots {
		if l.holds(entry(l.table, i)) {
			n++
		}
	}
	return n
}

// Partners returns the holders and successors that share a slot with this
// instance, for membership.SetPartners.
func (l *Leases) Partners() []string {
	seen := map[string]bool{}
	var names []string
	for i := range l.slots {
		e := entry(l.table, i)
		other := ""
		switch l.self.Name {
		case e.GetHolder():
			other = e.GetSuccessor()
		case e.GetSuccessor():
			other = e.GetHolder()
		}
		if other != "" && !seen[other] {
			seen[other] = true
			names = append(names, other)
		}
	}
	return names
}

// Err returns the latest fault of the table, nil if there was none.
func (l *Leases) Err() error { return l.err }

// Stats returns the counters.
func (l *Leases) Stats() Stats { return l.stats }

// Tick extends the tenures and writes what has to change. The view has to be
// taken from the membership that grants stands for, at the same time.
func (l *Leases) Tick(now time.Time, view *membership.View, grants Grants) []action.Action {
	if l.startedAt.IsZero() {
		l.startedAt, l.resumedAt = now, now
		l.nextBalance = now.Add(l.cfg.RebalanceInterval)
	}
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > l.cfg.SuspectAfter {
		l.resumedAt = now
	}
	l.lastTick, l.view, l.grants = now, view, grants
	l.noteLives(now)
	l.resumeGrants()
	var actions []action.Action
	switch {
	case l.pending != nil:
		actions = l.repeat(now)
	case !now.Before(l.nextWrite):
		actions = l.change(now)
	}
	l.extend()
	return actions
}

// life is when this instance first saw an incarnation of a member.
type life struct {
	incarnation uint64
	since       time.Time
}

func (l *Leases) noteLives(now time.Time) {
	if l.lives == nil {
		l.lives = map[string]life{}
	}
	for _, m := range l.view.Members {
		if l.lives[m.Name].incarnation != m.Incarnation {
			l.lives[m.Name] = life{incarnation: m.Incarnation, since: now}
		}
	}
}

// settled tells whether a member has run for so long that nobody withholds
// grants from it because of its previous run. A slot given to a member that
// has just restarted had no holder with a grant for up to 6.3 s.
func (l *Leases) settled(now time.Time, m membership.Member) bool {
	const heartbeats = 2 * time.Second
	seen, ok := l.lives[m.Name]
	return ok && seen.incarnation == m.Incarnation &&
		now.Sub(seen.since) > l.cfg.LeaseDuration+l.cfg.LeaseMargin+heartbeats
}

// Release hands all slots to their successors. Tenures end at once; Tick goes
// on writing until the table shows the change.
func (l *Leases) Release(now time.Time) []action.Action {
	l.releasing = true
	for i := range l.slots {
		if l.holds(entry(l.table, i)) {
			l.slots[i].until = time.Time{}
		}
	}
	if l.view == nil || l.pending != nil {
		return nil
	}
	return l.change(now)
}

// extend computes until when this instance may act for each slot. While a
// write is undecided, the successor of the old table and the one of the new
// table may both be entitled to take over, so both have to grant.
func (l *Leases) extend() {
	for i := range l.slots {
		s, e := &l.slots[i], entry(l.table, i)
		s.until = time.Time{}
		if !l.holds(e) || s.target != "" || l.releasing || l.forgotten[l.self.Name] {
			continue
		}
		s.until = l.grantFor(e)
		if l.pending == nil {
			continue
		}
		if p := entry(l.pending.table, i); !l.holds(p) {
			s.until = time.Time{}
		} else if until := l.grantFor(p); until.Before(s.until) {
			s.until = until
		}
	}
}

// grantFor returns until when the successor in an entry lets this instance
// act. A grant of another incarnation does not count: it does not know what
// the named one decided.
func (l *Leases) grantFor(e *pb.Slot) time.Time {
	m, ok := l.view.Member(e.GetSuccessor())
	if !ok || m.Name == l.self.Name || m.Incarnation != e.GetSuccessorIncarnation() {
		return time.Time{}
	}
	return l.grants.GrantUntil(m.Name)
}

// resumeGrants resumes grants to former holders that know what they lost.
func (l *Leases) resumeGrants() {
	for name, s := range l.stops {
		m, ok := l.view.Member(name)
		if ok && (s.revision > 0 && m.Revision >= s.revision || m.Incarnation > s.incarnation) {
			l.grants.StopGrants(name, false)
			delete(l.stops, name)
		}
	}
}
