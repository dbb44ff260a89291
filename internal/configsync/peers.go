package configsync

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// pushUpdates sends the objects changed since a peer's known revision to the
// peers that need them. Only watchers push. The watcher of rank 0 pushes at
// once to the members of its own failure domain, and to the watcher of rank 0
// of each other domain if that watcher has lost the platform. From RepairDelay
// after it adopted a revision, every watcher pushes to the members of its own
// domain and to the watcher of rank 0 of each other domain, if their heartbeats do
// not report the revision.
func (s *Sync) pushUpdates(now time.Time) []action.Action {
	if s.view == nil || s.store.position() == 0 {
		return nil
	}
	if s.rank >= WatchersPerDomain || !slices.ContainsFunc(s.view.Members, s.needsPush) {
		return nil
	}
	repairDue := !now.Before(s.repairPushAt)
	var actions []action.Action
	visitedDomains := map[string]bool{}
	for _, m := range s.view.Members {
		if m.Name == s.self || m.State == membership.Suspect {
			continue
		}
		if m.FailureDomain == s.view.Self.FailureDomain {
			if s.rank == 0 || repairDue {
				actions = append(actions, s.pushTo(m)...)
			}
			continue
		}
		if visitedDomains[m.FailureDomain] {
			continue
		}
		visitedDomains[m.FailureDomain] = true
		watchers := s.view.RankInDomain(m.FailureDomain, watchSeed)
		if len(watchers) > 0 && (s.rank == 0 && s.lacksPlatform(now, watchers[0]) || repairDue) {
			actions = append(actions, s.pushTo(watchers[0])...)
		}
	}
	return actions
}

// lacksPlatform reports whether a member's last confirmation by the platform is
// older than WatchSilence.
func (s *Sync) lacksPlatform(now time.Time, m membership.Member) bool {
	return now.Sub(m.ConfirmedAt) > s.cfg.WatchSilence
}

// needsPush reports whether a member is known to hold a lower revision than this
// instance and has not been sent the current one. A member that reports no
// revision is starting: it reads the platform or pulls, and a push from every
// watcher would send it all objects several times.
func (s *Sync) needsPush(m membership.Member) bool {
	p := s.peer(m.Name)
	return m.Name != s.self && p.knownRevision > 0 && p.knownRevision < s.store.position() && p.pushedRevision < s.store.position()
}

// pushTo sends a member, once per revision, all objects changed after the
// revision that it is known to hold. If the push is lost, the member pulls.
func (s *Sync) pushTo(m membership.Member) []action.Action {
	if !s.needsPush(m) {
		return nil
	}
	p := s.peer(m.Name)
	p.pushedRevision = s.store.position()
	s.stats.PushesSent++
	return []action.Action{s.pushMessage(m, p.knownRevision)}
}

// pushMessage returns a push of all objects changed after revision since.
func (s *Sync) pushMessage(m membership.Member, since uint64) action.Action {
	return action.SendPeer{Instance: m.Name, Address: m.Address, Message: &pb.PeerMessage{
		From: s.self, Incarnation: s.view.Self.Incarnation,
		Body: &pb.PeerMessage_ObjectPush{ObjectPush: &pb.ObjectPush{
			Since: since, Revision: s.store.position(), Objects: s.store.changedSince(since),
		}},
	}}
}

// HandlePush adopts a push that starts at or below the revision held here. If
// the push starts above it, objects are missing in between and HandlePush pulls
// from the sender instead. A push with an invalid object is rejected as a whole
// and recorded for Err. HandlePush returns the objects that changed and the
// messages to send.
func (s *Sync) HandlePush(now time.Time, from string, push *pb.ObjectPush) ([]*pb.Object, []action.Action) {
	s.detectPause(now)
	s.stats.PushesReceived++
	if push.GetRevision() < push.GetSince() {
		s.recordFault(&MalformedError{Reason: "revision of the push is below its start revision"})
		return nil, nil
	}
	s.peer(from).knownRevision = max(s.peer(from).knownRevision, push.GetRevision())
	if s.lastPull.from == from {
		s.lastPull = pull{}
	}
	if push.GetSince() > s.store.position() {
		s.stats.Gaps++
		if s.view == nil {
			return nil, nil
		}
		if m, ok := s.view.Member(from); ok {
			return nil, s.pullFrom(now, m)
		}
		return nil, nil
	}
	changed, actions, _ := s.adopt(now, push.GetObjects(), push.GetRevision())
	return changed, actions
}

// HandlePull answers a pull with a push of all objects changed after the
// requested revision. It does not answer if no higher revision is held here or
// the sender is not in the membership view.
func (s *Sync) HandlePull(now time.Time, from string, req *pb.ObjectPull) []action.Action {
	s.detectPause(now)
	s.stats.PullsReceived++
	if s.view == nil || s.store.position() <= req.GetSince() {
		return nil
	}
	m, ok := s.view.Member(from)
	if !ok {
		return nil
	}
	s.peer(from).pushedRevision = s.store.position()
	return []action.Action{s.pushMessage(m, req.GetSince())}
}

// tickPull pulls from a random member that holds a higher revision. There is at
// most one pull per PullTimeout. Members of the own failure domain other than
// the one last asked are preferred.
func (s *Sync) tickPull(now time.Time) []action.Action {
	if s.lastPull.from != "" && now.Sub(s.lastPull.at) < s.cfg.PullTimeout {
		return nil
	}
	var candidates, fallback []membership.Member
	for _, m := range s.view.Members {
		if m.Name == s.self || m.State == membership.Suspect || s.peer(m.Name).knownRevision <= s.store.position() {
			continue
		}
		if m.FailureDomain == s.view.Self.FailureDomain && m.Name != s.lastPull.from {
			candidates = append(candidates, m)
		} else {
			fallback = append(fallback, m)
		}
	}
	if len(candidates) == 0 {
		candidates = fallback
	}
	if len(candidates) == 0 {
		s.lastPull, s.behindSince = pull{}, time.Time{}
		return nil
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if now.Sub(s.behindSince) < s.cfg.PullDelay {
		return nil
	}
	return s.pullFrom(now, candidates[s.rng.IntN(len(candidates))])
}

func (s *Sync) pullFrom(now time.Time, m membership.Member) []action.Action {
	s.lastPull = pull{from: m.Name, since: s.store.position(), at: now}
	s.stats.PullsSent++
	return []action.Action{action.SendPeer{Instance: m.Name, Address: m.Address, Message: &pb.PeerMessage{
		From: s.self, Incarnation: s.view.Self.Incarnation,
		Body: &pb.PeerMessage_ObjectPull{ObjectPull: &pb.ObjectPull{Since: s.store.position()}},
	}}}
}
