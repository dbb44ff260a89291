package placement

import (
	"net/netip"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/domain"
	"github.com/chivemast/chivemast/internal/membership"
)

func (s *simulation) startInstance(name, dom string) *simInstance {
	in := &simInstance{
		sim: s, peers: map[string]simPeer{}, held: map[uint64]simPacket{},
		self: membership.Member{Name: name, FailureDomain: dom, Incarnation: uint64(s.now.UnixNano()), State: membership.Alive,
			Address: netip.MustParseAddrPort("127.0.0.1:7000")},
	}
	limit := time.Duration(0)
	if s.noFreshness {
		limit = time.Hour
	}
	in.domains = domain.New(domain.Config{OwnDomain: dom, FreshnessLimit: limit}, name)
	in.tracker = NewTracker(Config{
		SyncPeers:   s.syncPeers,
		IdleTimeout: func(string) time.Duration { return simIdleTimeout },
		Status: func(_, upstream string) UpstreamStatus {
			switch in.states[upstream] {
			case TargetServing:
				return StatusServing
			case TargetOut:
				return StatusOut
			}
			return StatusLeaving
		},
	}, name)
	if s.instances[name] == nil {
		s.order = append(s.order, name)
	}
	s.instances[name] = in
	s.every(in, 100*time.Millisecond, in.tick)
	s.every(in, time.Second, in.heartbeat)
	return in
}

func (in *simInstance) heartbeat() {
	s := in.sim
	m, leaving := in.self, in.leaving
	for _, name := range s.order {
		if name != m.Name {
			s.deliver(in, name, func(to *simInstance) {
				if old := to.peers[m.Name]; old.Incarnation <= m.Incarnation {
					m.LastHeard = s.now
					to.peers[m.Name] = simPeer{m, leaving}
				}
			})
		}
	}
	if in.self.Ready && in.table.change == s.table.Change && !s.cutDomains[in.self.FailureDomain] {
		if settled := in.tracker.Settled(s.now, simService); settled != nil {
			s.writeTable(settled)
		}
	}
}

func (in *simInstance) tick() {
	s := in.sim
	reachable := !s.cutDomains[in.self.FailureDomain]
	if reachable && in.self.Revision == s.revision {
		in.confirmedAt = s.now
	} else if reachable && !in.adopting {
		in.adopting = true
		s.after(s.jitter(s.adoptDelay), func() { in.receive(in.adopt) })
	}
	in.rebuildView()
	actions, releases := in.tracker.Tick(s.now, in.view)
	in.perform(actions)
	in.release(releases)
}

func (in *simInstance) adopt() {
	s := in.sim
	in.adopting = false
	if s.cutDomains[in.self.FailureDomain] {
		return
	}
	in.states = map[string]TargetState{}
	for _, t := range s.targets {
		in.states[t.Upstream] = t.State
	}
	for _, d := range []string{"d0", "d1", "d2", "d3"} {
		_, out := s.outAt[d]
		in.domains.Adopt(d, &pb.DomainState{Out: out})
	}
	in.table, _ = Compile(s.table, s.tableRevision)
	in.self.Revision, in.self.Ready = s.revision, true
	in.rebuildView()
	in.tracker.Adopt(s.now, in.table, in.view)
}

func (in *simInstance) rebuildView() {
	s := in.sim
	in.self.LastHeard = s.now
	if in.leaving {
		in.self.State = membership.Leaving
	}
	v := &membership.View{Self: in.self, Members: []membership.Member{in.self}}
	for name, p := range in.peers {
		silent := s.now.Sub(p.LastHeard) >= SuspectAfter
		p.State = membership.Alive
		switch {
		case silent && s.removedIncarnation[name] >= p.Incarnation:
			continue
		case p.leaving:
			p.State = membership.Leaving
		case silent:
			p.State = membership.Suspect
		}
		if s.noActivation {
			p.Revision = in.self.Revision
		}
		v.Members = append(v.Members, p.Member)
	}
	slices.SortFunc(v.Members, func(a, b membership.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	in.view = v
}

func (in *simInstance) perform(actions []action.Action) {
	for _, a := range actions {
		sp := a.(action.SendPeer)
		from, inc := in.self.Name, in.self.Incarnation
		in.sim.deliver(in, sp.Instance, func(to *simInstance) { to.handlePeer(from, inc, sp.Message) })
	}
}

func (in *simInstance) handlePeer(from string, inc uint64, m *pb.PeerMessage) {
	s, t := in.sim, in.tracker
	switch body := m.Body.(type) {
	case *pb.PeerMessage_Birth:
		if s.noReplication {
			body.Birth.Groups = nil
		}
		in.perform(t.HandleBirth(s.now, from, body.Birth))
	case *pb.PeerMessage_BirthAck:
		in.release(t.HandleBirthAck(s.now, from, body.BirthAck))
	case *pb.PeerMessage_TrackerSyncRequest:
		in.perform(t.HandleSyncRequest(s.now, from, inc, body.TrackerSyncRequest))
	case *pb.PeerMessage_TrackerSync:
		if s.noSync {
			for _, b := range body.TrackerSync.Buckets {
				b.Groups = nil
			}
		}
		in.release(t.HandleSync(s.now, from, inc, body.TrackerSync))
	}
}

func (in *simInstance) release(releases []Release) {
	for _, r := range releases {
		p := in.held[r.Ticket]
		delete(in.held, r.Ticket)
		in.apply(p, r.Decision)
	}
}

func (in *simInstance) handle(p simPacket) {
	s := in.sim
	if !in.self.Ready {
		return
	}
	if s.modulo {
		in.sendUpstream(p, in.moduloChoice(p.flow.key.Hash()))
		return
	}
	d := in.tracker.HandlePacket(s.now, Packet{
		Key: p.flow.key, Kind: p.kind, Hops: p.hops, Revision: p.revision, Allow: in.maySend,
	}, in.table, in.view)
	in.perform(d.Actions)
	in.apply(p, d)
	in.scheduleTick()
}

// scheduleTick runs tick at the tracker's next deadline.
func (in *simInstance) scheduleTick() {
	s := in.sim
	if at, ok := in.tracker.NextDeadline(); ok && (in.tickAt.Before(s.now) || at.Before(in.tickAt)) {
		in.tickAt = at
		s.after(max(0, at.Sub(s.now)), func() {
			in.receive(func() {
				in.tick()
				in.scheduleTick()
			})
		})
	}
}

func (in *simInstance) moduloChoice(hash uint64) string {
	var serving []string
	for _, t := range in.sim.targets {
		if in.states[t.Upstream] == TargetServing {
			serving = append(serving, t.Upstream)
		}
	}
	return serving[hash%uint64(len(serving))]
}

func (in *simInstance) apply(p simPacket, d Decision) {
	switch d.Verdict {
	case Forward:
		in.sendUpstream(p, d.Upstream)
	case Redirect:
		p.hops, p.revision = d.Hops, in.self.Revision
		in.sim.deliver(in, d.Instance, func(to *simInstance) { to.handle(p) })
	case Hold:
		in.held[d.Ticket] = p
	case Drop:
		in.sim.drops[d.Reason]++
	}
}
