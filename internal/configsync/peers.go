package configsync

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// push sends what is new to the peers that this instance serves and that are
// not known to have it. The rank 0 watcher of a failure domain pushes at once
// to its domain, and to one watcher of each other domain that has lost the
// platform. The rest is sent after RepairDelay to those whose heartbeats do
// not show the revision by then.
func (s *Sync) push(now time.Time) []action.Action {
	if s.view == nil || s.store.revision == 0 {
		return nil
	}
	if s.rank >= WatchersPerDomain || !slices.ContainsFunc(s.view.Members, s.lacks) {
		return nil
	}
	repair := !now.Before(s.repairAt)
	var actions []action.Action
	served := map[string]bool{}
	for _, m := range s.view.Members {
		if m.Name == s.self || m.State == membership.Suspect {
			continue
		}
		if m.FailureDomain == s.view.Self.FailureDomain {
			if s.rank == 0 || repair {
				actions = append(actions, s.pushTo(m)...)
			}
			continue
		}
		if served[m.FailureDomain] {
			continue
		}
		served[m.FailureDomain] = true
		watcher := s.view.RankIn(m.FailureDomain, watchSeed)
		if len(watcher) > 0 && (s.rank == 0 && s.lacksPlatform(now, watcher[0]) || repair) {
			actions = append(actions, s.pushTo(watcher[0])...)
		}
	}
	return actions
}

func (s *Sync) lacksPlatform(now time.Time, m membership.Member) bool {
	return now.Sub(m.ConfirmedAt) > s.cfg.WatchSilence
}

// lacks tells whether a push to a member is due. A starting instance reads
// the platform or pulls; a push from every watcher would send it everything
// several times.
func (s *Sync) lacks(m membership.Member) bool {
	p := s.peer(m.Name)
	return m.Name != s.self && p.known > 0 && p.known < s.store.revision && p.pushed < s.store.revision
}

// pushTo sends a peer everything after the revision that it is known to hold,
// once per revision. A lost push is repaired by the peer's own pull.
func (s *Sync) pushTo(m membership.Member) []action.Action {
	if !s.lacks(m) {
		return nil
	}
	p := s.peer(m.Name)
	p.pushed = s.store.revision
	s.stats.PushesSent++
	return []action.Action{s.pushMessage(m, p.known)}
}

func (s *Sync) pushMessage(m membership.Member, since uint64) action.Action {
	return action.SendPeer{Instance: m.Name, Address: m.Address, Message: &pb.PeerMessage{
		From: s.self, Incarnation: s.view.Self.Incarnation,
		Body: &pb.PeerMessage_ObjectPush{ObjectPush: &pb.ObjectPush{
			Since: since, Revision: s.store.revision, Objects: s.store.since(since),
		}},
	}}
}

// HandlePush takes over a push if it follows on from our revision, and pulls
// what is missing otherwise. It returns the objects that changed.
func (s *Sync) HandlePush(now time.Time, from string, push *pb.ObjectPush) ([]*pb.Object, []action.Action) {
	s.notePause(now)
	s.stats.PushesReceived++
	if push.GetRevision() < push.GetSince() {
		s.fault(&MalformedError{Reason: "push whose revision is below its start"})
		return nil, nil
	}
	s.peer(from).known = max(s.peer(from).known, push.GetRevision())
	if s.pulled.from == from {
		s.pulled = pull{}
	}
	if push.GetSince() > s.store.revision {
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

// HandlePull answers a pull with everything after its revision.
func (s *Sync) HandlePull(now time.Time, from string, req *pb.ObjectPull) []action.Action {
	s.notePause(now)
	s.stats.PullsReceived++
	if s.view == nil || s.store.revision <= req.GetSince() {
		return nil
	}
	m, ok := s.view.Member(from)
	if !ok {
		return nil
	}
	s.peer(from).pushed = s.store.revision
	return []action.Action{s.pushMessage(m, req.GetSince())}
}

// tickPull pulls from a peer that reports a higher revision, one at a time.
func (s *Sync) tickPull(now time.Time) []action.Action {
	if s.pulled.from != "" && now.Sub(s.pulled.at) < s.cfg.PullTimeout {
		return nil
	}
	var near, far []membership.Member
	for _, m := range s.view.Members {
		if m.Name == s.self || m.State == membership.Suspect || s.peer(m.Name).known <= s.store.revision {
			continue
		}
		if m.FailureDomain == s.view.Self.FailureDomain && m.Name != s.pulled.from {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		s.pulled, s.behindSince = pull{}, time.Time{}
		return nil
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if now.Sub(s.behindSince) < s.cfg.PullDelay {
		return nil
	}
	return s.pullFrom(now, near[s.rng.IntN(len(near))])
}

func (s *Sync) pullFrom(now time.Time, m membership.Member) []action.Action {
	s.pulled = pull{from: m.Name, since: s.store.revision, at: now}
	s.stats.PullsSent++
	return []action.Action{action.SendPeer{Instance: m.Name, Address: m.Address, Message: &pb.PeerMessage{
		From: s.self, Incarnation: s.view.Self.Incarnation,
		Body: &pb.PeerMessage_ObjectPull{ObjectPull: &pb.ObjectPull{Since: s.store.revision}},
	}}}
}
