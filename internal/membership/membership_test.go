package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// mesh is a set of instances with one clock and a network without loss.
type mesh struct {
	now   time.Time
	nodes map[string]*Membership
	names []string
	cut   map[string]bool // "from>to"
	bytes map[string]int  // sent and received by an instance
	// largest is the size of the largest message so far.
	largest int
}

func member(i int) Member {
	return Member{
		Name: fmt.Sprintf("instance-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%4), Incarnation: uint64(1e18) + uint64(i),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
	}
}

func newMesh(n int) *mesh {
	w := &mesh{now: time.Unix(1_700_000_000, 0), nodes: map[string]*Membership{}, cut: map[string]bool{}, bytes: map[string]int{}}
	var peers []Member
	for i := range n {
		peers = append(peers, member(i))
	}
	for i, p := range peers {
		w.names = append(w.names, p.Name)
		w.nodes[p.Name] = New(Config{Peers: peers}, p, rand.New(rand.NewPCG(uint64(i), 1)))
	}
	return w
}

// run advances by d in steps of 100 ms; messages arrive at once.
func (w *mesh) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		for _, name := range w.names {
			if m := w.nodes[name]; m != nil {
				m.SetLocal(1_000_000, w.now.Add(-900*time.Millisecond), true, m.leaving)
				w.deliver(name, m.Tick(w.now))
			}
		}
	}
}

func (w *mesh) deliver(from string, actions []action.Action) {
	for _, a := range actions {
		send := a.(action.SendPeer)
		to, msg := w.nodes[send.Instance], send.Message
		w.bytes[from] += proto.Size(msg)
		w.largest = max(w.largest, proto.Size(msg))
		if to == nil || w.cut[from+">"+send.Instance] {
			continue
		}
		w.bytes[send.Instance] += proto.Size(msg)
		to.HandleHeartbeat(w.now, msg.GetFrom(), msg.GetIncarnation(), msg.GetHeartbeat())
	}
}

func (w *mesh) state(at, of int) State {
	m, ok := w.nodes[w.names[at]].View(w.now).Member(w.names[of])
	if !ok {
		return Gone
	}
	return m.State
}

// Guards against heartbeats above the control traffic target: 1 KB/s per
// instance, sent and received together, with 9 members in steady state.
func TestSteadyHeartbeatBytes(t *testing.T) {
	w := newMesh(9)
	w.run(10 * time.Second)
	clear(w.bytes)
	const seconds = 600
	w.run(seconds * time.Second)
	for _, name := range w.names {
		rate := float64(w.bytes[name]) / seconds
		t.Logf("%s: %.0f B/s", name, rate)
		require.LessOrEqual(t, rate, 1000.0)
		require.InDelta(t, 8*seconds, w.nodes[name].Stats().HeartbeatsSent, 100)
	}
}

// Guards against wrong member states: silence makes suspect, only the
// instance list or an operator makes gone, and an answer outweighs the list.
func TestMemberStates(t *testing.T) {
	w := newMesh(4)
	w.run(3 * time.Second)
	for of := 1; of < 4; of++ {
		require.Equal(t, Alive, w.state(0, of))
	}
	w.nodes[w.names[1]].SetLocal(0, time.Time{}, true, true)
	w.nodes[w.names[2]] = nil
	w.run(4 * time.Second)
	require.Equal(t, Leaving, w.state(0, 1))
	require.Equal(t, Suspect, w.state(0, 2))
	first := w.nodes[w.names[0]]
	first.HandleInstanceList(w.now, nil)
	require.Equal(t, Alive, w.state(0, 3), "the list removes no member that answers")
	require.Equal(t, Gone, w.state(0, 2))
	w.run(2 * time.Second)
	require.Equal(t, Alive, w.state(0, 3))
	first.Forget(w.names[3])
	w.run(time.Second)
	require.Equal(t, Gone, w.state(0, 3))
	require.Positive(t, first.Stats().Rejected[RejectForgotten])
}

// Guards against a paused instance that trusts what it knew before, or
// messages that waited in its socket.
func TestPauseMakesEverythingStale(t *testing.T) {
	w := newMesh(3)
	w.run(3 * time.Second)
	paused := w.nodes[w.names[0]]
	w.nodes[w.names[0]] = nil
	var waiting []action.Action
	for range 80 {
		w.now = w.now.Add(100 * time.Millisecond)
		waiting = append(waiting, w.nodes[w.names[1]].Tick(w.now)...)
	}
	w.nodes[w.names[0]] = paused
	for _, a := range waiting {
		if send := a.(action.SendPeer); send.Instance == w.names[0] {
			w.deliver(w.names[1], []action.Action{a})
		}
	}
	require.Equal(t, Suspect, w.state(0, 1), "only messages from before the resume were heard")
	require.Equal(t, uint64(1), paused.Stats().Pauses)
	require.True(t, paused.GrantUntil(w.names[1]).Before(w.now))
	w.run(3 * time.Second)
	require.Equal(t, Alive, w.state(0, 1))
}

// Guards against a grant that the holder counts longer than the granting
// instance, and against grants that pass to another incarnation.
func TestGrants(t *testing.T) {
	w := newMesh(2)
	a, b := w.nodes[w.names[0]], w.nodes[w.names[1]]
	w.run(5 * time.Second)
	holds, granted := a.GrantUntil(w.names[1]), b.GrantedUntil(w.names[0])
	require.True(t, holds.After(w.now.Add(4*time.Second)))
	require.True(t, granted.Sub(holds) >= DefaultLeaseMargin)

	b.StopGrants(w.names[0], true)
	w.run(2 * time.Second)
	require.True(t, !a.GrantUntil(w.names[1]).After(holds.Add(time.Second)))
	b.StopGrants(w.names[0], false)
	w.run(3 * time.Second)
	require.True(t, a.GrantUntil(w.names[1]).After(w.now.Add(4*time.Second)))

	// A restart of the holder waits for the grants of its earlier run.
	old, until := member(0), b.GrantedUntil(w.names[0])
	restarted := old
	restarted.Incarnation += 10
	w.nodes[w.names[0]] = New(a.cfg, restarted, rand.New(rand.NewPCG(9, 1)))
	for w.now.Before(until) {
		require.Zero(t, w.nodes[w.names[0]].GrantUntil(w.names[1]))
		w.run(100 * time.Millisecond)
	}
	w.run(3 * time.Second)
	require.True(t, w.nodes[w.names[0]].GrantUntil(w.names[1]).After(w.now))
	w.deliver(w.names[0], a.Tick(w.now))
	require.Positive(t, b.Stats().Rejected[RejectStaleIncarnation])
	require.Equal(t, w.names[0], b.Stats().LastRejected.From)

	// A malformed heartbeat is refused and counted.
	b.HandleHeartbeat(w.now, "x", 1, &pb.Heartbeat{Sequence: 1, PeerAddress: "nowhere"})
	require.Equal(t, uint64(1), b.Stats().Rejected[RejectMalformed])
}

// Guards against false suspicion, and against dead members that are kept
// alive by digests, above the full mesh.
func TestDigestsAboveFullMesh(t *testing.T) {
	w := newMesh(40)
	w.nodes[w.names[0]].SetPartners([]string{w.names[7]})
	w.run(40 * time.Second)
	for at := range w.names {
		for of := range w.names {
			require.Equal(t, Alive, w.state(at, of), "%d at %d", of, at)
		}
	}
	before := w.nodes[w.names[0]].Stats().HeartbeatsSent
	w.run(10 * time.Second)
	require.LessOrEqual(t, w.nodes[w.names[0]].Stats().HeartbeatsSent-before, uint64(81))
	require.Less(t, w.largest, 1400, "MaxDatagram")
	w.nodes[w.names[5]] = nil
	w.run(12 * time.Second)
	for at := range w.names {
		if at != 5 {
			require.Equal(t, Suspect, w.state(at, 5), "at %d", at)
		}
	}
}
