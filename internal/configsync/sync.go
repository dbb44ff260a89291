package configsync

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Sync holds the replicated objects of one instance. It is not safe for
// concurrent use.
type Sync struct {
	cfg   Config
	self  string
	rng   *rand.Rand
	store store
	view  *membership.View
	rank  int // rank for the watch in view

	// Platform.
	read      call
	watch     call
	instances call
	// regressed is true while the platform is below our revision.
	regressed bool
	watchedAt time.Time // last message of the watch, or its start
	// watchRejected is true from a rejected message until the watch starts
	// again: later messages of the same watch would leave a gap.
	watchRejected bool
	// confirmFrom is the time before which watch messages confirm nothing:
	// after a pause of this instance they may have waited in a buffer.
	confirmFrom   time.Time
	platformRead  bool
	majorityHeard bool
	confirmedAt   time.Time
	lastTick      time.Time

	// Peers.
	peers       map[string]*peerState
	repairAt    time.Time
	pulled      pull
	behindSince time.Time // since when a peer is known to be ahead

	err   error
	stats Stats
}

// call is a call to the platform that is repeated after a failure.
type call struct {
	open bool
	// issuedAt is when the call was made, floor the revision held then.
	issuedAt time.Time
	floor    uint64
	next     time.Time
	backoff  time.Duration
}

// pull is the latest pull from a peer.
type pull struct {
	from  string
	since uint64
	at    time.Time
}

// peerState is what this instance knows of the objects of a peer.
type peerState struct {
	incarnation uint64
	known       uint64 // revision that the peer is known to hold
	pushed      uint64 // revision that was last sent to the peer
}

// New returns an empty Sync for the instance named self.
func New(cfg Config, self string, rng *rand.Rand) *Sync {
	return &Sync{
		cfg: cfg.withDefaults(), self: self, rng: rng,
		store: store{objects: map[string]*pb.Object{}},
		peers: map[string]*peerState{},
	}
}

// Get returns an object, nil if it does not exist or was deleted.
func (s *Sync) Get(key string) *pb.Object { return s.store.get(key) }

// List returns the existing objects whose keys have a prefix, by key.
func (s *Sync) List(prefix string) []*pb.Object { return s.store.list(prefix) }

// Revision returns the revision up to which every object is held.
func (s *Sync) Revision() uint64 { return s.store.revision }

// ConfirmedAt returns a time at which the objects held now were current at
// the platform, the zero time if that was never known.
func (s *Sync) ConfirmedAt() time.Time { return s.confirmedAt }

// Ready tells whether the platform was read, or a majority of the configured
// peers answered and their highest revision was taken over.
func (s *Sync) Ready() bool { return s.platformRead || s.majorityHeard }

// Err returns the latest fault: a *RegressionError while the platform is
// below our revision, else the latest *VersionError or *MalformedError, else
// nil.
func (s *Sync) Err() error { return s.err }

// Stats returns the counters.
func (s *Sync) Stats() Stats { return s.stats }

// Watching tells whether this instance watches the platform.
func (s *Sync) Watching() bool { return s.watch.open }

// Tick starts what is due: the watch, reads, pulls and pushes.
func (s *Sync) Tick(now time.Time, view *membership.View) []action.Action {
	s.notePause(now)
	s.lastTick, s.view, s.rank = now, view, watchRank(view)
	for _, m := range view.Members {
		p := s.peer(m.Name)
		if p.incarnation != m.Incarnation {
			// A restarted instance holds nothing.
			*p = peerState{incarnation: m.Incarnation}
		}
		p.known = max(p.known, m.Revision)
	}
	s.takeConfirmations(view)
	actions := s.tickPlatform(now)
	actions = append(actions, s.tickPull(now)...)
	actions = append(actions, s.push(now)...)
	s.tickJoin(now)
	return actions
}

func (s *Sync) peer(name string) *peerState {
	p := s.peers[name]
	if p == nil {
		p = &peerState{}
		s.peers[name] = p
	}
	return p
}

// takeConfirmations takes over the youngest confirmation of a member whose
// objects we all have. What was confirmed for a higher revision than ours
// says nothing about the objects held here.
func (s *Sync) takeConfirmations(view *membership.View) {
	for _, m := range view.Members {
		if m.Name == s.self || m.ConfirmedAt.IsZero() || m.ConfirmedRevision > s.store.revision {
			continue
		}
		if m.ConfirmedAt.After(s.confirmedAt) {
			s.confirmedAt = m.ConfirmedAt
		}
	}
}

// tickJoin decides whether enough peers answered. At least one of them has to
// be ready itself: instances that all restarted with nothing have no
// configuration to give to each other.
func (s *Sync) tickJoin(now time.Time) {
	if s.Ready() || len(s.cfg.Peers) == 0 {
		return
	}
	answered, ready, highest := 0, false, uint64(0)
	for _, name := range s.cfg.Peers {
		m, ok := s.view.Member(name)
		if !ok || name == s.self || m.State != membership.Alive && m.State != membership.Leaving {
			continue
		}
		answered++
		ready = ready || m.Ready
		highest = max(highest, m.Revision)
	}
	s.majorityHeard = ready && answered > len(s.cfg.Peers)/2 && s.store.revision >= highest
}

// adopt takes over objects and returns what changed and the pushes that this
// causes. It returns false when a fault kept it from adopting anything.
func (s *Sync) adopt(now time.Time, objects []*pb.Object, revision uint64) ([]*pb.Object, []action.Action, bool) {
	before := s.store.revision
	changed, err := s.store.adopt(objects, revision)
	if err != nil {
		s.fault(err)
		return nil, nil, false
	}
	if s.store.revision == before {
		return changed, nil, true
	}
	s.repairAt = now.Add(s.cfg.RepairDelay)
	return changed, s.push(now), true
}

func (s *Sync) fault(err error) {
	var regression *RegressionError
	var version *VersionError
	switch {
	case errors.As(err, &regression):
		s.stats.Regressions++
	case errors.As(err, &version):
		s.stats.VersionErrors++
	default:
		s.stats.Malformed++
	}
	if !s.regressed {
		s.err = err
	}
}

// notePause notices that this instance did not run for a while, for example
// after SIGSTOP. The watch is then restarted, and messages that waited in its
// buffer confirm nothing.
func (s *Sync) notePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	if s.lastTick.IsZero() || gap <= s.cfg.PauseLimit/6 {
		return
	}
	// Also after a short gap, a message may have waited for all of it.
	s.lastTick = now
	s.confirmFrom = now.Add(s.cfg.PauseLimit / 3)
	if gap <= s.cfg.PauseLimit {
		return
	}
	s.stats.Pauses++
	if s.watch.open {
		s.watch.open, s.watch.next = false, now
	}
	if s.read.open {
		s.read.open, s.read.next = false, now
	}
}
