package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
	"github.com/chivemast/chivemast/internal/peerauth"
)

var start = time.Date(2026, 5, 8, 14, 56, 0, 0, time.UTC)

func member(n int, domain string) Member {
	return Member{Name: fmt.Sprintf("edge-%s-%d", domain, n), FailureDomain: domain, Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.1:80", n))}
}

// fleet is a failure domain in which every instance receives the updates of all
// watchers.
type fleet struct {
	views []*membership
	alive []bool
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.views = append(f.views, newMembership(member(i, "a")))
		f.alive = append(f.alive, true)
	}
	return f
}

// step simulates one watch interval and returns the indices of the instances that
// watched.
func (f *fleet) step(now time.Time, kind catalog.Kind) []int {
	var watching []int
	for i, view := range f.views {
		if f.alive[i] && view.isWatcher(now, kind) {
			watching = append(watching, i)
		}
	}
	for _, w := range watching {
		for i, view := range f.views {
			if i != w && f.alive[i] {
				view.recordMessage(now, f.views[w].self, 1)
				view.recordWatch(now, f.views[w].self.Name, kind)
			}
		}
	}
	return watching
}

// Guards against store calls that grow with the number of instances, and against
// a kind that no instance watches after both its watchers have failed.
func TestTwoInstancesWatchAndOthersTakeOver(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 18, 70} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(size)
			now := start
			require.Len(t, f.step(now, catalog.KindUpstreams), size, "all instances watch before any update has arrived")
			var watching []int
			for range 4 {
				now = now.Add(1500 * time.Millisecond)
				watching = f.step(now, catalog.KindUpstreams)
			}
			require.Len(t, watching, min(size, watchersPerKind))
			for _, w := range watching {
				f.alive[w] = false
			}
			now = now.Add(watcherTimeout)
			for range 4 {
				now = now.Add(1500 * time.Millisecond)
				watching = f.step(now, catalog.KindUpstreams)
			}
			require.Len(t, watching, min(max(size-2, 0), watchersPerKind))
		})
	}
}

// Guards against the same instances watching all kinds, which happens when the
// rank does not depend on the kind.
func TestKindsHaveDifferentWatchers(t *testing.T) {
	f := newFleet(18)
	busy := map[int]int{}
	for _, kind := range catalog.Kinds() {
		now := start
		var watching []int
		for range 4 {
			watching = f.step(now, kind)
			now = now.Add(1500 * time.Millisecond)
		}
		for _, w := range watching {
			busy[w]++
		}
	}
	require.Greater(t, len(busy), watchersPerKind)
}

// Guards against failed members that are never removed, also when other instances
// still mention them.
func TestMembersExpire(t *testing.T) {
	m := newMembership(member(0, "a"))
	m.recordMessage(start, member(1, "a"), 1)
	m.recordMention(start.Add(9*time.Second), mention{Member: member(1, "a")})
	heard := (10 * time.Second).Milliseconds()
	m.recordMention(start.Add(10*time.Second), mention{Member: member(1, "a"), HeardMS: &heard})
	m.expire(start.Add(memberTimeout + time.Second))
	require.Empty(t, m.peers())
	m.recordMention(start.Add(memberTimeout+2*time.Second), mention{Member: member(1, "a"), HeardMS: &heard})
	old := (memberTimeout + time.Second).Milliseconds()
	m.recordMention(start.Add(memberTimeout+2*time.Second), mention{Member: member(2, "a"), HeardMS: &old})
	require.Equal(t, []Member{member(1, "a")}, m.peers(), "a member that nobody has heard for longer is not added")
}

// Guards against members that are up and expire because only one hello a second is
// sent: in a failure domain of 50, with 5% of the messages lost, no member is forgotten
// after the instances have found each other.
func TestMembersOfLargeDomainStayKnown(t *testing.T) {
	const size, loss, settled, span = 50, 0.05, 20 * time.Second, 120 * time.Second
	rng := rand.New(rand.NewPCG(1, 1))
	holdings := Holdings{Positions: *reported(1, 1, 1)}
	var views []*membership
	byName := map[string]*membership{}
	for n := range size {
		m := newMembership(member(n, "a"))
		m.rng = rand.New(rand.NewPCG(1, uint64(n)))
		views, byName[m.self.Name] = append(views, m), m
	}
	deliver := func(now time.Time, to *membership, received *message) *message {
		if to == nil || rng.Float64() < loss {
			return nil
		}
		answer, _ := to.receive(now, received, 1, holdings.Positions)
		return answer
	}
	for _, m := range views {
		deliver(start, views[0], &message{From: m.self, Hello: true})
	}
	lost := 0
	for now := start; now.Sub(start) < span; now = now.Add(time.Second) {
		holdings.Heard = now
		for _, m := range views {
			m.expire(now)
			if now.Sub(start) > settled {
				lost += size - 1 - len(m.peers())
			}
			next := m.nextRound(now, holdings)
			targets := next.hellos
			if next.seeds {
				targets = append(targets, views[0].self)
			}
			for _, target := range targets {
				if answer := deliver(now, byName[target.Name], &message{From: m.self, Hello: true, Positions: &holdings.Positions}); answer != nil {
					deliver(now, m, answer)
				}
			}
		}
	}
	require.Zero(t, lost)
}

// Guards against an instance that claims a larger share of a cold upstream when a
// network cut hides its peers, which still send to that upstream.
func TestShareDoesNotGrowWhenMembersAreLost(t *testing.T) {
	m := newMembership(member(5, "a"))
	for n := range 9 {
		m.recordMessage(start, member(n, "a"), 1)
		m.recordMessage(start, member(n, "b"), 1)
	}
	rank, count := m.peerRank(start)
	require.Equal(t, 5, rank)
	require.Equal(t, 9, count)
	m.expire(start.Add(memberTimeout + time.Second))
	_, count = m.peerRank(start.Add(memberTimeout + time.Second))
	require.Equal(t, 9, count)
	_, count = m.peerRank(start.Add(peakRetention + time.Second))
	require.Equal(t, 1, count)
}

// Guards against instances that do not find each other through one seed, against
// updates that cross failure domains, and against a malformed message that is not
// counted as rejected.
func TestInstancesFindEachOtherAndPassUpdates(t *testing.T) {
	seed, seedRecord := startRelay(t, "a-1", "a")
	first, _ := startRelay(t, "a-2", "a", seed.cfg.Self.Address)
	_, otherRecord := startRelay(t, "b-1", "b", seed.cfg.Self.Address)
	require.Eventually(t, func() bool { return len(seed.Peers()) == 1 && len(first.Peers()) == 1 }, 5*time.Second, 10*time.Millisecond)

	first.SendUpdate(catalogsync.Update{Kind: catalog.KindEvacuations, Base: 3, Revision: 3})
	largeEvent := catalog.EvacuationsListed{Revision: 5}
	for i := range 500 {
		largeEvent.Domains = append(largeEvent.Domains, fmt.Sprintf("domain-%d", i))
	}
	first.SendUpdate(catalogsync.Update{Kind: catalog.KindEvacuations, Base: 3, Revision: 5, Events: []catalog.Event{largeEvent}})
	first.ReportSilent(7, []UpstreamIncarnation{{ID: "i-1", Born: 7}})
	first.ReportLost([]UpstreamIncarnation{{ID: "i-2", Born: 8}})
	_, err := first.conn.WriteToUDPAddrPort([]byte("not a message"), seed.cfg.Self.Address)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		seedRecord.mu.Lock()
		defer seedRecord.mu.Unlock()
		return len(seedRecord.updates) == 2 && len(seedRecord.silent) == 1 && len(seedRecord.lost) == 1 && seedRecord.rejected == 1
	}, 5*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 5, seedRecord.updates[1].Base, "an update that does not fit is sent with a base revision that shows a gap")
	otherRecord.mu.Lock()
	defer otherRecord.mu.Unlock()
	require.Empty(t, otherRecord.updates)
}

// Guards against reports on response times that reach no instance of another failure
// domain, or reach it in place of what peers are told.
func TestLoadReportsReachPeersAndOtherDomains(t *testing.T) {
	seed, seedRecord := startRelay(t, "a-1", "a")
	reporting, _ := startRelay(t, "a-2", "a", seed.cfg.Self.Address)
	_, otherRecord := startRelay(t, "b-1", "b", seed.cfg.Self.Address)
	reports := load.Reports{
		Peers:  []load.Report{{Service: "s", Answers: 3, MeanMS: 40}},
		Others: []load.Report{{Service: "s", Answers: 12, MeanMS: 35}},
		Remote: []load.RemoteReport{{Domain: "c", Service: "s", MeanMS: 30, Age: 20 * time.Millisecond}},
	}
	require.Eventually(t, func() bool {
		reporting.ReportLoad(reports, inflight.Report{{Key: 1, Eighths: 2}})
		seedRecord.mu.Lock()
		defer seedRecord.mu.Unlock()
		otherRecord.mu.Lock()
		defer otherRecord.mu.Unlock()
		return seedRecord.loads["a"] != nil && otherRecord.loads["a"] != nil
	}, 10*time.Second, 20*time.Millisecond)
	seedRecord.mu.Lock()
	defer seedRecord.mu.Unlock()
	otherRecord.mu.Lock()
	defer otherRecord.mu.Unlock()
	require.Equal(t, reports.Peers, seedRecord.loads["a"].Services)
	require.Equal(t, reports.Remote, seedRecord.loads["a"].Remote)
	require.Equal(t, inflight.Report{{Key: 1, Eighths: 2}}, seedRecord.loads["a"].InFlight)
	require.Equal(t, &LoadReport{Services: reports.Others}, otherRecord.loads["a"])
}

// Guards against an instance that starts and is not told the earlier incarnations of
// upstreams and the ends of evacuations, because the answer to its hello lacks them or
// becomes too large with them.
func TestAnswersToHellosTellThePast(t *testing.T) {
	seed, _ := startRelay(t, "b-1", "b")
	_, starting := startRelay(t, "a-1", "a", seed.cfg.Self.Address)
	require.Eventually(t, func() bool {
		starting.mu.Lock()
		defer starting.mu.Unlock()
		return len(starting.past.Replaced) > 0
	}, 5*time.Second, 10*time.Millisecond)
	starting.mu.Lock()
	defer starting.mu.Unlock()
	require.Regexp(t, "^b-1-0+$", starting.past.Replaced[0].ID)
	require.Equal(t, []catalog.EndedEvacuation{{FailureDomain: "b", Ago: time.Second}}, starting.past.EndedEvacuations)
	require.Zero(t, starting.rejected)
}

// Guards against an instance that starts without the store and fetches no state
// from a seed, and against a response from an instance that has none of the kind.
func TestStateIsFetchedFromSeed(t *testing.T) {
	seed, _ := startRelay(t, "a-1", "a")
	serve(t, seed)
	starting, _ := startRelay(t, "a-2", "a", netip.MustParseAddrPort("127.0.0.1:1"), seed.cfg.Self.Address)

	state, err := starting.FetchState(t.Context(), catalog.KindEvacuations, catalog.Position{})
	require.NoError(t, err)
	require.GreaterOrEqual(t, state.Age, 2*time.Second)
	require.Less(t, state.Age, 3*time.Second)
	require.EqualValues(t, 9, state.Update.Revision)
	require.Equal(t, "a-1", state.Source)
	brief, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = starting.FetchState(brief, catalog.KindUpstreams, catalog.Position{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = starting.FetchState(brief, catalog.KindEvacuations, catalog.Position{Era: 2, Revision: 9})
	require.ErrorIs(t, err, context.DeadlineExceeded, "the state is not newer")
	_, err = starting.requestState(t.Context(), seed.cfg.Self, catalog.KindUpstreams)
	require.ErrorContains(t, err, "503")
}

// Guards against a list of members with long names that the receiver rejects because it
// exceeds MaxDatagram.
func TestListOfLongNamesFitsIntoDatagram(t *testing.T) {
	first, _ := startRelay(t, "a-1", "a")
	second, record := startRelay(t, "a-2", "a")
	long := strings.Repeat("x", 60)
	for n := range 20 {
		first.recordMessage(time.Now(), &message{From: Member{Name: fmt.Sprint(long, n), FailureDomain: long, Address: unusedAddress(t)}}, 7)
	}
	hello := second.ownMessage()
	hello.Hello = true
	second.sendMessage(receiver{address: first.cfg.Self.Address}, hello)
	require.Eventually(t, func() bool { return len(second.Peers()) > 0 }, 5*time.Second, 10*time.Millisecond)
	record.mu.Lock()
	defer record.mu.Unlock()
	require.Zero(t, record.rejected)
}

// Guards against alarms about forged messages from peers whose format is not known yet: an
// update that fits into a datagram in binary form only is truncated when it is sent as JSON.
func TestUpdateThatFitsInBinaryOnlyIsAcceptedAsJSON(t *testing.T) {
	first, _ := startRelay(t, "a-1", "a")
	second, record := startRelay(t, "a-2", "a")
	var changes []catalog.UpstreamChange
	for n := range 8 {
		changes = append(changes, catalog.UpstreamChange{Upstream: exampleUpstream(n)})
	}
	update := catalogsync.Update{Kind: catalog.KindUpstreams, Base: 8, Revision: 12, Events: []catalog.Event{catalog.UpstreamsChanged{Revision: 12, Changes: changes}}}
	m := &message{From: first.cfg.Self, Update: &update}
	binary, err := m.encodeToFit(formatBinary)
	require.NoError(t, err)
	require.Equal(t, KindUpdate, binary.kind, "the binary form fits")
	hello := second.ownMessage()
	hello.Hello = true
	second.sendMessage(receiver{address: first.cfg.Self.Address}, hello)
	require.Eventually(t, func() bool { return len(first.Peers()) > 0 }, 5*time.Second, 10*time.Millisecond)
	to := first.receiverOf(second.cfg.Self)
	to.format = formatJSON
	first.sendMessage(to, m)
	require.Eventually(t, func() bool {
		record.mu.Lock()
		defer record.mu.Unlock()
		return len(record.updates) > 0 || record.rejected > 0
	}, 5*time.Second, 10*time.Millisecond)
	record.mu.Lock()
	defer record.mu.Unlock()
	require.Zero(t, record.rejected)
	require.Empty(t, record.updates[0].Events)
	require.EqualValues(t, 12, record.updates[0].Base)
}

// Guards against reports on requests in flight that peers reject because, with those on
// response times, they do not fit into a datagram.
func TestLargeReportsOnLoadAreAccepted(t *testing.T) {
	first, _ := startRelay(t, "a-1", "a")
	second, record := startRelay(t, "a-2", "a", first.cfg.Self.Address)
	require.Eventually(t, func() bool { return len(first.Peers()) > 0 && len(second.Peers()) > 0 }, 5*time.Second, 10*time.Millisecond)
	var reports load.Reports
	for n := range load.MaxReports {
		name := fmt.Sprintf("service-%040d", n)
		occupancy := load.Occupancy{PerSlot: 1.5, Known: true}
		reports.Peers = append(reports.Peers, load.Report{Service: name, Answers: 1000, MeanMS: 1000})
		reports.Remote = append(reports.Remote, load.RemoteReport{Domain: "b", Service: name, MeanMS: 1000, Age: time.Second, Occupancy: occupancy})
	}
	var inFlight inflight.Report
	for n := range inflight.MaxEntries {
		inFlight = append(inFlight, inflight.Entry{Key: inflight.Key(n), Eighths: 8})
	}
	data, err := (&message{From: first.cfg.Self, Loads: &LoadReport{Services: reports.Peers, Remote: reports.Remote}}).encode(formatBinary)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data)+peerauth.Overhead, MaxDatagram, "the response times alone fit")
	first.ReportLoad(reports, inFlight)
	require.Eventually(t, func() bool {
		record.mu.Lock()
		defer record.mu.Unlock()
		return (record.loads["a"] != nil && len(record.loads["a"].InFlight) == inflight.MaxEntries) || record.rejected > 0
	}, 5*time.Second, 10*time.Millisecond)
	record.mu.Lock()
	defer record.mu.Unlock()
	require.Zero(t, record.rejected)
}
