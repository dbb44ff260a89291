package configsync

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Sync holds the replicated objects of one instance and decides when to call the
// platform and its peers. It is not safe for concurrent use.
type Sync struct {
	cfg   Config
	self  string
	rng   *rand.Rand
	store store
	view  *membership.View
	// rank is this instance's rank for the watch in view; ranks below
	// WatchersPerDomain watch the platform.
	rank int

	// State of the platform calls.
	read      platformCall
	watch     platformCall
	instances platformCall
	// platformRegressed is true while the platform is below the revision held here.
	platformRegressed bool
	// lastWatchMessageAt is the time of the last watch message, or of the start of
	// the watch if none arrived yet.
	lastWatchMessageAt time.Time
	// watchRejected is true from a rejected message until the watch starts
	// again. The changes of the rejected message would be missing from later
	// messages of the same watch.
	watchRejected bool
	// confirmationsFrom is the time before which watch messages confirm nothing.
	// After a pause of this instance they may have waited in a buffer.
	confirmationsFrom time.Time
	platformRead      bool      // the platform answered a read or a watch
	majorityAnswered  bool      // see updateMajorityAnswered
	confirmedAt       time.Time // see ConfirmedAt
	platformAt        time.Time // latest time at which the platform confirmed the objects to this instance
	lastTick          time.Time // last tick, or a later message that revealed a pause

	// State of the exchange with peers.
	peers        map[string]*peerState // by instance name
	repairPushAt time.Time             // when pushes to all lagging members are due
	lastPull     pull
	behindSince  time.Time // since when a peer is known to hold a higher revision

	err   error // see Err
	stats Stats
}

// platformCall is the state of a read or watch that is retried after a failure.
type platformCall struct {
	open     bool      // the call was made and has not ended
	issuedAt time.Time // when the call was made
	// floor is the revision held when the call was made or, for a watch, that of
	// its last adopted message. A lower one in an answer is a regression.
	floor   uint64
	next    time.Time     // earliest time of the next attempt
	backoff time.Duration // before jitter, zero after a success
}

// pull describes the latest pull. It is the zero value if there was none, the peer
// answered, or no peer holds a higher revision.
type pull struct {
	from  string    // name of the peer
	since uint64    // revision held when the pull was sent
	at    time.Time // when the pull was sent
}

// peerState is what this instance knows about the objects of a peer.
type peerState struct {
	incarnation    uint64
	knownRevision  uint64 // revision that the peer is known to hold
	pushedRevision uint64 // revision that was last sent to the peer
}

// New returns a Sync without objects for the instance named self. The random
// generator is used for jitter and to select peers.
func New(cfg Config, self string, rng *rand.Rand) *Sync {
	return &Sync{
		cfg: cfg.withDefaults(), self: self, rng: rng,
		store: store{objects: map[string]*pb.Object{}},
		peers: map[string]*peerState{},
	}
}

// Get returns an object, nil if it does not exist or was deleted.
func (s *Sync) Get(key string) *pb.Object { return s.store.get(key) }

// List returns the existing objects whose keys have a prefix, ordered by key.
func (s *Sync) List(prefix string) []*pb.Object { return s.store.list(prefix) }

// Revision returns the store-wide revision up to which all changes are in force. After
// the platform was restored it stays that of the era before until Settle.
func (s *Sync) Revision() uint64 { return s.store.revision }

// ConfirmedAt returns the latest time at which the objects held here are known to
// have been current at the platform, or the zero time if no confirmation arrived.
func (s *Sync) ConfirmedAt() time.Time { return s.confirmedAt }

// Ready reports whether the objects suffice to serve: either the platform answered
// a read or a watch, or a majority of the configured peers answered, at least one
// of them was ready itself, and their highest revision is held here.
func (s *Sync) Ready() bool { return s.platformRead || s.majorityAnswered }

// Err returns a *RegressionError while the platform is below the revision held
// here. Otherwise it returns the latest *VersionError or *MalformedError, or nil
// if there was none since the last regression ended.
func (s *Sync) Err() error { return s.err }

// Stats returns the counters.
func (s *Sync) Stats() Stats { return s.stats }

// Watching reports whether this instance has an open watch of the platform.
func (s *Sync) Watching() bool { return s.watch.open }

// Tick takes over the membership view and returns the watches, reads, pulls and
// pushes that are due. It has to be called periodically.
func (s *Sync) Tick(now time.Time, view *membership.View) []action.Action {
	s.detectPause(now)
	s.lastTick, s.view, s.rank = now, view, rankForWatch(view)
	for _, m := range view.Members {
		p := s.peer(m.Name)
		if p.incarnation != m.Incarnation {
			// A restarted instance holds no objects.
			*p = peerState{incarnation: m.Incarnation}
		}
		p.knownRevision = max(p.knownRevision, m.Revision)
	}
	s.adoptConfirmations(view)
	actions := s.tickPlatform(now)
	actions = append(actions, s.tickPull(now)...)
	actions = append(actions, s.pushUpdates(now)...)
	s.updateMajorityAnswered(now)
	return actions
}

// peer returns the state of a peer and creates it if needed.
func (s *Sync) peer(name string) *peerState {
	p := s.peers[name]
	if p == nil {
		p = &peerState{}
		s.peers[name] = p
	}
	return p
}

// adoptConfirmations raises the time of confirmation to the latest one reported by
// a member for a revision that is held here. A confirmation of a higher revision
// says nothing about the objects held here.
func (s *Sync) adoptConfirmations(view *membership.View) {
	for _, m := range view.Members {
		if m.Name == s.self || m.ConfirmedAt.IsZero() || m.ConfirmedRevision > s.store.revision {
			continue
		}
		if m.ConfirmedAt.After(s.confirmedAt) {
			s.confirmedAt = m.ConfirmedAt
		}
	}
}

// updateMajorityAnswered sets majorityAnswered while this instance is not ready:
// true if more than half of the configured peers answered, at least one of them
// is ready itself, and their highest revision is held here. If no peer had to be
// ready, instances that all restarted without objects would declare each other
// ready with no configuration.
func (s *Sync) updateMajorityAnswered(now time.Time) {
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
	s.majorityAnswered = ready && answered > len(s.cfg.Peers)/2 && s.store.position() >= highest
}

// adopt stores the objects and returns those that changed and the resulting
// pushes. It returns false if one object is invalid and nothing was adopted.
func (s *Sync) adopt(now time.Time, objects []*pb.Object, revision uint64) ([]*pb.Object, []action.Action, bool) {
	before := s.store.position()
	restored := s.store.restored != nil
	changed, err := s.store.adopt(now, s.cfg.SettleDelay, objects, revision)
	if err != nil {
		s.recordFault(err)
		return nil, nil, false
	}
	if s.store.restored != nil && !restored {
		s.stats.Restorations++
	}
	if s.store.position() == before {
		return changed, nil, true
	}
	s.repairPushAt = now.Add(s.cfg.RepairDelay)
	return changed, s.pushUpdates(now), true
}

// recordFault counts a fault and keeps it for Err, unless the platform is below
// the revision held here.
func (s *Sync) recordFault(err error) {
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
	if !s.platformRegressed {
		s.err = err
	}
}

// detectPause detects that this instance did not run for a while, for example
// after SIGSTOP. Messages that waited in the watch's buffer then confirm nothing,
// and after more than PauseLimit an open watch and an open read are restarted.
func (s *Sync) detectPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	if s.lastTick.IsZero() || gap <= s.cfg.PauseLimit/6 {
		return
	}
	// Even after a gap below PauseLimit, a message may have waited for all of it.
	s.lastTick = now
	s.confirmationsFrom = now.Add(s.cfg.PauseLimit / 3)
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
