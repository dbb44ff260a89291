package catalogsync

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// simChange is a change of one kind in the history of a simStore.
type simChange struct {
	kind     catalog.Kind
	revision uint64
	event    catalog.Event
}

// simState is the immutable content of a simStore.
type simState struct {
	era, revision uint64
	config        *catalog.Configuration
	upstreams     map[string]catalog.Upstream
	evacuated     map[string]bool
	history       []simChange
}

func (s *simState) clone() *simState {
	c := *s
	c.upstreams, c.evacuated, c.history = maps.Clone(s.upstreams), maps.Clone(s.evacuated), slices.Clone(s.history)
	return &c
}

// version is a content of a simStore and the time from which it was current.
type version struct {
	at    time.Time
	state *simState
}

// simStore is a store in virtual time that can be restored from an earlier content. Its
// replicas answer stale lists and watches up to lag late, also across a restoration.
type simStore struct {
	mu       sync.Mutex
	versions []version
	down     bool
	lag      time.Duration
	// dropped is the revision up to which the history was dropped.
	dropped uint64
	// cut holds the names of the instances that do not reach the store.
	cut map[string]bool
	// checks counts the watches that no replica may answer, since takeChecks.
	checks int
}

func newSimStore() *simStore {
	first := &simState{era: 1, revision: 1, upstreams: map[string]catalog.Upstream{}, evacuated: map[string]bool{}}
	return &simStore{versions: []version{{time.Now(), first}}, cut: map[string]bool{}}
}

// current returns the content; the caller holds s.mu.
func (s *simStore) current() *simState { return s.versions[len(s.versions)-1].state }

// at returns the content of a time; the caller holds s.mu.
func (s *simStore) at(t time.Time) *simState {
	for _, v := range slices.Backward(s.versions) {
		if !v.at.After(t) {
			return v.state
		}
	}
	return s.versions[0].state
}

// write makes a change; change returns its event.
func (s *simStore) write(kind catalog.Kind, change func(state *simState) catalog.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.current().clone()
	next.revision++
	next.history = append(next.history, simChange{kind, next.revision, change(next)})
	s.versions = append(s.versions, version{time.Now(), next})
}

func (s *simStore) setConfig(config catalog.Configuration) {
	s.write(catalog.KindConfiguration, func(state *simState) catalog.Event {
		config.Revision = state.revision
		state.config = &config
		return catalog.ConfigurationRead{Configuration: config}
	})
}

func (s *simStore) setUpstream(u catalog.Upstream) {
	s.write(catalog.KindUpstreams, func(state *simState) catalog.Event {
		u.Revision = state.revision
		state.upstreams[u.ID] = u
		return catalog.UpstreamsChanged{Revision: state.revision, Changes: []catalog.UpstreamChange{{Upstream: u}}}
	})
}

func (s *simStore) removeUpstream(id string) {
	s.write(catalog.KindUpstreams, func(state *simState) catalog.Event {
		delete(state.upstreams, id)
		return catalog.UpstreamsChanged{Revision: state.revision, Changes: []catalog.UpstreamChange{{
			Upstream: catalog.Upstream{ID: id, Revision: state.revision}, Removed: true,
		}}}
	})
}

func (s *simStore) setEvacuated(domain string, active bool) {
	s.write(catalog.KindEvacuations, func(state *simState) catalog.Event {
		delete(state.evacuated, domain)
		if active {
			state.evacuated[domain] = true
		}
		return catalog.EvacuationsChanged{Revision: state.revision, Changes: []catalog.EvacuationChange{{FailureDomain: domain, Ended: !active, Revision: state.revision}}}
	})
}

// restore replaces the content by that of an earlier time.
func (s *simStore) restore(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.at(from).clone()
	next.era = s.current().era + 1
	s.versions = append(s.versions, version{time.Now(), next})
	s.dropped = min(s.dropped, next.revision)
}

// truth returns the content.
func (s *simStore) truth() *simState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current()
}

// takeChecks returns the number of watches that no replica may answer, since the last
// call.
func (s *simStore) takeChecks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	checks := s.checks
	s.checks = 0
	return checks
}

func (s *simStore) set(change func(*simStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// simClient is the Store of one instance.
type simClient struct {
	store *simStore
	name  string
	// ignoresEras makes all answers name era 0.
	ignoresEras bool
}

// read returns the content that a call sees.
func (c simClient) read(stale bool) (state *simState, dropped uint64, err error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.down || c.store.cut[c.name] {
		return nil, 0, errDown
	}
	state = c.store.current()
	if stale {
		state = c.store.at(time.Now().Add(-c.store.lag))
	}
	if c.ignoresEras {
		state = state.clone()
		state.era = 0
	}
	return state, c.store.dropped, nil
}

// List implements Store.
func (c simClient) List(_ context.Context, kind catalog.Kind, stale bool) (Update, error) {
	time.Sleep(4 * time.Millisecond)
	state, _, err := c.read(stale)
	if err != nil {
		return Update{}, err
	}
	update := Update{Kind: kind, Era: state.era, Revision: state.revision, Current: !stale}
	switch kind {
	case catalog.KindUpstreams:
		list := catalog.UpstreamsListed{Revision: state.revision}
		for _, u := range state.upstreams {
			list.Entries = append(list.Entries, catalog.UpstreamChange{Upstream: u})
		}
		update.Events = []catalog.Event{list}
	case catalog.KindConfiguration:
		if state.config != nil {
			update.Events = []catalog.Event{catalog.ConfigurationRead{Configuration: *state.config}}
		}
	case catalog.KindEvacuations:
		update.Events = []catalog.Event{catalog.EvacuationsListed{Revision: state.revision, Domains: slices.Sorted(maps.Keys(state.evacuated))}}
	}
	return update, nil
}

// Watch implements Store. A watch from a revision that the store does not have, or whose
// history was dropped, fails with ErrHistoryGone.
func (c simClient) Watch(ctx context.Context, kind catalog.Kind, revision uint64, wait time.Duration, stale bool) (Update, error) {
	if !stale {
		c.store.set(func(s *simStore) { s.checks++ })
	}
	deadline := time.Now().Add(wait)
	for {
		time.Sleep(4 * time.Millisecond)
		state, dropped, err := c.read(stale)
		switch {
		case err != nil:
			return Update{}, err
		case ctx.Err() != nil:
			return Update{}, ctx.Err()
		case revision > state.revision || revision < dropped:
			return Update{}, fmt.Errorf("watch from %d: %w", revision, ErrHistoryGone)
		}
		update := Update{Kind: kind, Era: state.era, Base: revision, Revision: state.revision, Current: !stale}
		for _, change := range state.history {
			if change.kind == kind && change.revision > revision {
				update.Events = append(update.Events, change.event)
			}
		}
		if len(update.Events) > 0 || !time.Now().Before(deadline) {
			return update, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// simUpstream returns an upstream of a service in a failure domain.
func simUpstream(n int, domain string) catalog.Upstream {
	return catalog.Upstream{
		ID: fmt.Sprintf("i-%x", 0x1000+n), Born: int64(n), Token: uint64(0x1000 + n), FailureDomain: domain, Service: "s", Capacity: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
	}
}
