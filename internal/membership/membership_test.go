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

// network is a set of instances with one clock. Messages arrive at once and none
// is lost.
type network struct {
	now       time.Time
	instances map[string]*Membership
	names     []string
	blocked   map[string]bool // keyed "from>to"
	bytes     map[string]int  // sent plus received, by instance name
	// largest is the size of the largest message so far, in bytes.
	largest int
}

func member(i int) Member {
	return Member{
		Name: fmt.Sprintf("instance-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%4),
		Incarnation: uint64(1e18) + uint64(i),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
	}
}

func newNetwork(n int) *network {
	net := &network{
		now:       time.Unix(1_700_000_000, 0),
		instances: map[string]*Membership{}, blocked: map[string]bool{}, bytes: map[string]int{},
	}
	var peers []Member
	for i := range n {
		peers = append(peers, member(i))
	}
	for i, p := range peers {
		net.names = append(net.names, p.Name)
		net.instances[p.Name] = New(Config{Peers: peers}, p, rand.New(rand.NewPCG(uint64(i), 1)))
	}
	return net
}

// advance runs all instances for d in steps of 100 ms.
func (net *network) advance(d time.Duration) {
	for end := net.now.Add(d); net.now.Before(end); net.now = net.now.Add(100 * time.Millisecond) {
		for _, name := range net.names {
			if m := net.instances[name]; m != nil {
				m.SetLocal(1_000_000, net.now.Add(-900*time.Millisecond), true, m.leaving)
				net.deliver(name, m.Tick(net.now))
			}
		}
	}
}

func (net *network) deliver(from string, actions []action.Action) {
	for _, a := range actions {
		send := a.(action.SendPeer)
		receiver, msg := net.instances[send.Instance], send.Message
		net.bytes[from] += proto.Size(msg)
		net.largest = max(net.largest, proto.Size(msg))
		if receiver == nil || net.blocked[from+">"+send.Instance] {
			continue
		}
		net.bytes[send.Instance] += proto.Size(msg)
		receiver.HandleHeartbeat(net.now, msg.GetFrom(), msg.GetIncarnation(), msg.GetHeartbeat())
	}
}

func (net *network) stateAt(observer, subject int) State {
	m, ok := net.instances[net.names[observer]].View(net.now).Member(net.names[subject])
	if !ok {
		return Gone
	}
	return m.State
}

// Guards against heartbeats that exceed the target for control traffic: 1 KB/s per
// instance, sent and received together, with 9 members in steady state.
func TestHeartbeatBytesInSteadyState(t *testing.T) {
	net := newNetwork(9)
	net.advance(10 * time.Second)
	clear(net.bytes)
	const seconds = 600
	net.advance(seconds * time.Second)
	for _, name := range net.names {
		rate := float64(net.bytes[name]) / seconds
		t.Logf("%s: %.0f B/s", name, rate)
		require.LessOrEqual(t, rate, 1000.0)
		require.InDelta(t, 8*seconds, net.instances[name].Stats().HeartbeatsSent, 100)
	}
}

// Guards against wrong member states. A silent member is Suspect, only the instance
// list or an operator makes it Gone, and a heartbeat outweighs the list.
func TestMemberStates(t *testing.T) {
	net := newNetwork(4)
	net.advance(3 * time.Second)
	for subject := 1; subject < 4; subject++ {
		require.Equal(t, Alive, net.stateAt(0, subject))
	}
	net.instances[net.names[1]].SetLocal(0, time.Time{}, true, true)
	net.instances[net.names[2]] = nil
	net.advance(4 * time.Second)
	require.Equal(t, Leaving, net.stateAt(0, 1))
	require.Equal(t, Suspect, net.stateAt(0, 2))
	observerInstance := net.instances[net.names[0]]
	observerInstance.HandleInstanceList(net.now, nil)
	require.Equal(t, Alive, net.stateAt(0, 3), "a member that sends heartbeats is not removed by the list")
	require.Equal(t, Gone, net.stateAt(0, 2))
	net.advance(2 * time.Second)
	require.Equal(t, Alive, net.stateAt(0, 3))
	observerInstance.Forget(net.names[3])
	net.advance(time.Second)
	require.Equal(t, Gone, net.stateAt(0, 3))
	require.Positive(t, observerInstance.Stats().Rejected[RejectForgotten])
}

// Guards against an instance that, after a pause, takes members for alive because of
// what it knew before or of heartbeats that waited in its socket.
func TestMembersAreSuspectAfterOwnPause(t *testing.T) {
	net := newNetwork(3)
	net.advance(3 * time.Second)
	paused := net.instances[net.names[0]]
	net.instances[net.names[0]] = nil
	var queued []action.Action
	for range 80 {
		net.now = net.now.Add(100 * time.Millisecond)
		queued = append(queued, net.instances[net.names[1]].Tick(net.now)...)
	}
	net.instances[net.names[0]] = paused
	for _, a := range queued {
		if send := a.(action.SendPeer); send.Instance == net.names[0] {
			net.deliver(net.names[1], []action.Action{a})
		}
	}
	require.Equal(t, Suspect, net.stateAt(0, 1), "only heartbeats sent during the pause were received")
	require.Equal(t, uint64(1), paused.Stats().Pauses)
	require.True(t, paused.GrantUntil(net.names[1]).Before(net.now))
	net.advance(3 * time.Second)
	require.Equal(t, Alive, net.stateAt(0, 1))
}

// Guards against a grant that lasts longer at its receiver than at the granting
// instance, and against a new incarnation that uses grants of the earlier one.
func TestGrantsEndAtReceiverFirst(t *testing.T) {
	net := newNetwork(2)
	a, b := net.instances[net.names[0]], net.instances[net.names[1]]
	net.advance(5 * time.Second)
	receivedUntil, grantedUntil := a.GrantUntil(net.names[1]), b.GrantedUntil(net.names[0])
	require.True(t, receivedUntil.After(net.now.Add(4*time.Second)))
	require.True(t, grantedUntil.Sub(receivedUntil) >= DefaultLeaseMargin)

	b.StopGrants(net.names[0], true)
	net.advance(2 * time.Second)
	require.True(t, !a.GrantUntil(net.names[1]).After(receivedUntil.Add(time.Second)))
	b.StopGrants(net.names[0], false)
	net.advance(3 * time.Second)
	require.True(t, a.GrantUntil(net.names[1]).After(net.now.Add(4*time.Second)))

	// A restarted instance gets no grant before those of its earlier run end.
	old, until := member(0), b.GrantedUntil(net.names[0])
	restarted := old
	restarted.Incarnation += 10
	net.instances[net.names[0]] = New(a.cfg, restarted, rand.New(rand.NewPCG(9, 1)))
	for net.now.Before(until) {
		require.Zero(t, net.instances[net.names[0]].GrantUntil(net.names[1]))
		net.advance(100 * time.Millisecond)
	}
	net.advance(3 * time.Second)
	require.True(t, net.instances[net.names[0]].GrantUntil(net.names[1]).After(net.now))
	net.deliver(net.names[0], a.Tick(net.now))
	require.Positive(t, b.Stats().Rejected[RejectStaleIncarnation])
	require.Equal(t, net.names[0], b.Stats().LastRejected.From)

	// A malformed heartbeat is rejected and counted.
	b.HandleHeartbeat(net.now, "x", 1, &pb.Heartbeat{Sequence: 1, PeerAddress: "nowhere"})
	require.Equal(t, uint64(1), b.Stats().Rejected[RejectMalformed])
}

// Guards against live members that become suspect, and against dead members that
// digests keep alive, when there are more than Config.FullMesh instances.
func TestMemberStatesAboveFullMesh(t *testing.T) {
	net := newNetwork(40)
	net.instances[net.names[0]].SetPartners([]string{net.names[7]})
	net.advance(40 * time.Second)
	for observer := range net.names {
		for subject := range net.names {
			require.Equal(t, Alive, net.stateAt(observer, subject), "%d at %d", subject, observer)
		}
	}
	before := net.instances[net.names[0]].Stats().HeartbeatsSent
	net.advance(10 * time.Second)
	require.LessOrEqual(t, net.instances[net.names[0]].Stats().HeartbeatsSent-before, uint64(81))
	require.Less(t, net.largest, 1400, "MaxDatagram")
	net.instances[net.names[5]] = nil
	net.advance(12 * time.Second)
	for observer := range net.names {
		if observer != 5 {
			require.Equal(t, Suspect, net.stateAt(observer, 5), "at %d", observer)
		}
	}
}
