package relay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// overlapBound is the time for which an instance with state and one without must run
	// together so that the state survives.
	overlapBound = 300 * time.Millisecond
	// fetchDelay is the time from the start of an instance to its first request for
	// state: catalogsync gives the store that time.
	fetchDelay = 100 * time.Millisecond
	// transferTime is the time that the source of a state needs to send it.
	transferTime = 30 * time.Millisecond
	checkTime    = 10 * time.Millisecond
)

// recoveryInstance is an instance of a recoverySim.
type recoveryInstance struct {
	self        Member
	view        *membership
	session     peerauth.Session
	alive       bool
	running     map[string]time.Time
	started     time.Time
	holds       bool
	holdsSince  time.Time
	incarnation int
}

func (i *recoveryInstance) holdings() Holdings {
	if !i.holds {
		return Holdings{}
	}
	return Holdings{Positions: *reported(7, 7, 7), Heard: start.Add(-2 * storeQuietAfter)}
}

// recoverySim simulates instances that are restarted while the store is unavailable. It
// runs the decisions of membership in virtual time.
type recoverySim struct {
	now       time.Time
	rng       *rand.Rand
	queue     recoveryQueue
	serial    int
	instances []*recoveryInstance
	// withoutOffer makes instances with state announce nothing.
	withoutOffer bool
	// violations describes the instances that ran without state for overlapBound beside
	// one with state.
	violations []string
	// served is set while an instance holds state.
	served bool
}

type recoveryEvent struct {
	at     time.Time
	serial int
	run    func()
}

type recoveryQueue []recoveryEvent

func (q recoveryQueue) Len() int { return len(q) }
func (q recoveryQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial)
}
func (q recoveryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *recoveryQueue) Push(x any)   { *q = append(*q, x.(recoveryEvent)) }
func (q *recoveryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (sim *recoverySim) after(d time.Duration, run func()) {
	sim.serial++
	heap.Push(&sim.queue, recoveryEvent{sim.now.Add(d), sim.serial, run})
}

// newRecoverySim returns a simulation in which all instances hold state and know each
// other.
func newRecoverySim(seed uint64, size int) *recoverySim {
	sim := &recoverySim{now: start, rng: rand.New(rand.NewPCG(seed, 1))}
	for n := range size {
		i := &recoveryInstance{self: member(n, string(rune('a'+n%4)))}
		sim.instances = append(sim.instances, i)
		sim.start(i)
		i.holds, i.holdsSince, i.started = true, start.Add(-time.Minute), start.Add(-time.Minute)
	}
	for _, i := range sim.instances {
		for _, other := range sim.instances {
			i.view.receive(start, &message{From: other.self, Positions: reported(7, 7, 7)}, other.session, Positions{})
		}
	}
	return sim
}

func (sim *recoverySim) find(name string) *recoveryInstance {
	for _, i := range sim.instances {
		if i.self.Name == name {
			return i
		}
	}
	return nil
}

// start starts a new incarnation without state.
func (sim *recoverySim) start(i *recoveryInstance) {
	i.incarnation++
	i.session = peerauth.Session(sim.rng.Uint64()%1000 + uint64(i.incarnation)*1000)
	i.view, i.alive, i.holds, i.running, i.started = newMembership(i.self), true, false, map[string]time.Time{}, sim.now
	i.view.rng = sim.rng
	sim.runRounds(i, i.incarnation)
}

func (sim *recoverySim) running(i *recoveryInstance, incarnation int) bool {
	return i.alive && i.incarnation == incarnation
}

// runRounds sends what nextRound selects, as Relay.sendHellos does.
func (sim *recoverySim) runRounds(i *recoveryInstance, incarnation int) {
	if !sim.running(i, incarnation) {
		return
	}
	next := i.view.nextRound(sim.now, i.holdings())
	revisions := i.holdings().Positions
	hellos := next.hellos
	if next.seeds {
		for _, seed := range sim.instances[:min(3, len(sim.instances))] {
			hellos = append(hellos, seed.self)
		}
	}
	for _, to := range hellos {
		sim.send(i, to, &message{From: i.self, Hello: true, Positions: &revisions})
	}
	for _, to := range next.announce {
		if !sim.withoutOffer {
			sim.send(i, to, &message{From: i.self, Announcement: true, Positions: &revisions})
		}
	}
	sim.after(next.wait, func() { sim.runRounds(i, incarnation) })
	sim.fetch(i)
}

// send delivers a message, as Relay.handleDatagram does: one for another session is
// answered with a hello.
func (sim *recoverySim) send(from *recoveryInstance, to Member, m *message) {
	session, sender := from.view.byName[to.Name].session, from.session
	sim.after(time.Duration(1+sim.rng.IntN(3))*time.Millisecond, func() {
		i := sim.find(to.Name)
		if !i.alive || i == from {
			return
		}
		own := i.holdings().Positions
		if session != 0 && session != i.session {
			sim.send(i, from.self, &message{From: i.self, Hello: true, Positions: &own, Members: i.view.list(sim.now, from.self.FailureDomain)})
			return
		}
		answer, announce := i.view.receive(sim.now, m, sender, own)
		if answer != nil {
			sim.send(i, from.self, answer)
		}
		if announce {
			sim.runRounds(i, i.incarnation)
		}
		sim.fetch(i)
	})
}

// fetch requests the state as Relay.FetchState does.
func (sim *recoverySim) fetch(i *recoveryInstance) {
	if i.holds || sim.now.Sub(i.started) < fetchDelay {
		return
	}
	incarnation := i.incarnation
	for _, member := range nextSources(sim.now, i.view.stateSources(0, catalog.Position{}), i.running) {
		source := sim.find(member.Name)
		serving := source.incarnation
		i.running[member.Name] = sim.now
		sim.after(transferTime, func() {
			if !sim.running(i, incarnation) {
				return
			}
			delete(i.running, member.Name)
			if !sim.running(source, serving) || !source.holds {
				i.view.forgetPosition(member.Name, 0)
				sim.fetch(i)
				return
			}
			if !i.holds {
				i.holds, i.holdsSince = true, sim.now
				for _, mentioned := range source.view.freshest(sim.now, maxMembersWithState) {
					i.view.recordMention(sim.now, mentioned)
				}
			}
		})
	}
}

// kill ends an instance at once and starts it again after down.
func (sim *recoverySim) kill(i *recoveryInstance, down time.Duration) {
	i.alive = false
	sim.after(down, func() {
		if !i.alive {
			sim.start(i)
		}
	})
}

// terminate shuts an instance down: it forwards for a while and waits for instances
// that lack state, as the daemon does.
func (sim *recoverySim) terminate(i *recoveryInstance, down time.Duration) {
	incarnation := i.incarnation
	i.view.leaving = true
	sim.after(time.Second, func() { sim.exit(i, incarnation, down, 6) })
}

func (sim *recoverySim) exit(i *recoveryInstance, incarnation int, down time.Duration, waits int) {
	switch {
	case !sim.running(i, incarnation):
	case waits > 0 && i.holds && i.view.lacking(sim.now) > 0:
		sim.after(50*time.Millisecond, func() { sim.exit(i, incarnation, down, waits-1) })
	default:
		sim.kill(i, down)
	}
}

// check records instances that have run without state for overlapBound beside one with
// state.
func (sim *recoverySim) check() {
	overlaps := func(since time.Time) bool { return sim.now.Sub(since) > overlapBound }
	var holder *recoveryInstance
	sim.served = false
	for _, i := range sim.instances {
		sim.served = sim.served || (i.alive && i.holds)
		if i.alive && i.holds && overlaps(i.holdsSince) {
			holder = i
		}
	}
	for _, i := range sim.instances {
		if holder != nil && i.alive && !i.holds && overlaps(i.started) {
			sim.violations = append(sim.violations, fmt.Sprintf("%s at %s, with state: %s", i.self.Name, sim.now.Sub(start), holder.self.Name))
		}
	}
	sim.after(checkTime, sim.check)
}

func (sim *recoverySim) run(span time.Duration) {
	sim.check()
	for len(sim.queue) > 0 && sim.queue[0].at.Sub(start) < span {
		next := heap.Pop(&sim.queue).(recoveryEvent)
		sim.now = next.at
		next.run()
	}
}

// restartAtRandom schedules kills of single instances, kills of many at once, and planned
// restarts in turn.
func (sim *recoverySim) restartAtRandom(span time.Duration) {
	down := func() time.Duration { return time.Duration(100+sim.rng.IntN(1900)) * time.Millisecond }
	for at := time.Duration(0); at < span; at += time.Duration(100+sim.rng.IntN(700)) * time.Millisecond {
		victim := sim.instances[sim.rng.IntN(len(sim.instances))]
		sim.after(at, func() {
			switch sim.rng.IntN(4) {
			case 0:
				for _, i := range sim.instances {
					if i.alive && sim.rng.Float64() < 0.6 {
						sim.kill(i, down())
					}
				}
			case 1, 2:
				sim.terminate(victim, down())
			case 3:
				sim.kill(victim, down())
			}
		})
	}
}

// Guards against state that is lost although an instance that starts ran beside one that
// held it: while the store is unavailable, instances are restarted at random, and every
// one that runs beside an instance with state for overlapBound has fetched it by then.
func TestStateSurvivesRestartsWithoutStore(t *testing.T) {
	const span, schedules = 12 * time.Second, 25
	for _, size := range []int{2, 7, 9, 14} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			survived := 0
			for seed := range uint64(schedules) {
				sim := newRecoverySim(seed, size)
				sim.restartAtRandom(span - 2*time.Second)
				sim.run(span)
				require.Empty(t, sim.violations[:min(1, len(sim.violations))], "seed %d", seed)
				if sim.served {
					survived++
				}
			}
			t.Logf("state survived in %d of %d schedules", survived, schedules)
		})
	}
}

// Guards against a check that passes when instances with state do not announce it.
func TestCheckRejectsInstancesWithoutOffer(t *testing.T) {
	failed := 0
	for seed := range uint64(8) {
		sim := newRecoverySim(seed, 9)
		sim.withoutOffer = true
		sim.restartAtRandom(10 * time.Second)
		sim.run(12 * time.Second)
		if len(sim.violations) > 0 {
			failed++
		}
	}
	require.Positive(t, failed)
}

// Guards against a mass restart in a large fleet that finds the last instance with state
// too late: all but one of 200 instances restart, the seeds among them, and all hold
// state again after a second.
func TestLastHolderIsFoundInLargeFleet(t *testing.T) {
	sim := newRecoverySim(1, 200)
	sim.after(100*time.Millisecond, func() {
		for _, i := range sim.instances[:199] {
			sim.kill(i, 200*time.Millisecond)
		}
	})
	sim.after(1300*time.Millisecond, func() {
		for _, i := range sim.instances {
			require.True(t, i.holds, i.self.Name)
		}
	})
	sim.run(1400 * time.Millisecond)
}

// Guards against an instance that the store turns away and that does not learn who holds a
// later state: it must ask members of all failure domains, and those must answer.
func TestSeekingInstanceLearnsOfLaterState(t *testing.T) {
	m := newMembership(member(0, "a"))
	m.receive(start, &message{From: member(1, "b"), Positions: reported(3, 3, 3)}, 7, *reported(3, 3, 3))
	holdings := Holdings{Positions: *reported(3, 3, 3), Heard: start, Seeking: true}
	require.Equal(t, []Member{member(1, "b")}, m.nextRound(start.Add(searchInterval), holdings).announce)

	other := newMembership(member(1, "b"))
	announcement := &message{From: member(0, "a"), Announcement: true, Positions: reported(3, 3, 3)}
	answer, _ := other.receive(start, announcement, 8, *reported(3, 3, 4))
	require.Equal(t, reported(3, 3, 4), answer.Positions)
	answer, _ = other.receive(start, announcement, 8, *reported(3, 3, 3))
	require.Nil(t, answer, "no answer to what is not later")
}

// Guards against a failure domain whose instances the store turns away and that all fetch
// the same state from other failure domains, so that the bytes between domains grow with
// the instances.
func TestStateIsFetchedFromOwnDomainFirst(t *testing.T) {
	m := newMembership(member(0, "a"))
	m.receive(start, &message{From: member(1, "a"), Positions: reported(4, 4, 4)}, 7, *reported(3, 3, 3))
	m.receive(start.Add(time.Second), &message{From: member(2, "b"), Positions: reported(4, 4, 4)}, 8, *reported(3, 3, 3))
	m.receive(start.Add(2*time.Second), &message{From: member(3, "a"), Positions: reported(3, 3, 3)}, 9, *reported(3, 3, 3))
	require.Equal(t, []Member{member(1, "a"), member(2, "b")}, m.stateSources(catalog.KindUpstreams, reported(3, 3, 3)[0]))
}
