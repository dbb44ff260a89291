package configsync

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Fixes the seed and the size of the random tests; flags of the command line
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var errLost = errors.New("connection lost")

// net is a set of instances with one clock, a platform and a network that
// reorders messages. Views come from the true state with the age of the last
// exchange, as heartbeats once a second would show it.
type net struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*node
	queue     []message
	cut       map[[2]int]bool // from, to; the platform is -1
	down      bool
	loss      float64
	delay     time.Duration
	objects   map[string]*pb.Object
	revision  uint64
	calls     int
	adoptAny  bool // broken policy
	violation error
}

type message struct {
	at time.Time
	do func()
}

type node struct {
	net      *net
	id       int
	sync     *Sync
	run      uint64
	seen     map[string]uint64
	heard    map[int]membership.Member
	watching bool
	watched  uint64
	progress time.Time
	revision uint64
}

func name(id int) string { return fmt.Sprintf("node-%d", id) }

func newNet(n int, seed uint64) *net {
	w := &net{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		cut: map[[2]int]bool{}, objects: map[string]*pb.Object{}, delay: 3 * time.Millisecond,
	}
	for id := range n {
		w.nodes = append(w.nodes, &node{net: w, id: id})
		w.nodes[id].start()
	}
	return w
}

func (n *node) start() {
	n.run++
	var peers []string
	for id := range 6 {
		if id != n.id {
			peers = append(peers, name(id))
		}
	}
	n.sync = New(Config{Peers: peers}, name(n.id), rand.New(rand.NewPCG(n.net.rng.Uint64(), 2)))
	n.seen, n.heard, n.watching, n.revision = map[string]uint64{}, map[int]membership.Member{}, false, 0
}

// view is what heartbeats would have shown.
func (n *node) view() *membership.View {
	self := membership.Member{
		Name: name(n.id), FailureDomain: fmt.Sprintf("d%d", n.id%2), Incarnation: n.run,
		State: membership.Alive, Revision: n.sync.Revision(), Ready: n.sync.Ready(), LastHeard: n.net.now,
	}
	v := &membership.View{Self: self}
	for id := range n.net.nodes {
		m, ok := n.heard[id]
		if id == n.id {
			m, ok = self, true
		}
		if n.net.now.Sub(m.LastHeard) > 3*time.Second {
			m.State = membership.Suspect
		}
		if ok {
			v.Members = append(v.Members, m)
		}
	}
	return v
}

// step advances by 100 ms.
func (w *net) step() {
	w.now = w.now.Add(100 * time.Millisecond)
	slices.SortStableFunc(w.queue, func(a, b message) int { return a.at.Compare(b.at) })
	for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
		m := w.queue[0]
		w.queue = w.queue[1:]
		m.do()
	}
	for _, n := range w.nodes {
		n.do(n.sync.Tick(w.now, n.view()))
		n.pollWatch()
		if w.now.UnixMilli()/100%10 == int64(n.id) {
			n.heartbeat()
		}
	}
}

func (w *net) run(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		w.step()
	}
}

func (n *node) heartbeat() {
	self := n.view().Self
	self.ConfirmedAt, self.ConfirmedRevision = n.sync.ConfirmedAt(), self.Revision
	for _, o := range n.net.nodes {
		n.send(o, func() { o.heard[n.id] = self })
	}
}

func (n *node) send(o *node, do func()) {
	w, run := n.net, o.run
	if o == n || w.cut[[2]int{n.id, o.id}] || w.rng.Float64() < w.loss {
		return
	}
	w.after(func() {
		if o.run == run {
			do()
		}
	})
}

func (w *net) after(do func()) {
	w.queue = append(w.queue, message{at: w.now.Add(time.Duration(w.rng.Int64N(int64(w.delay)))), do: do})
}

func (n *node) do(actions []action.Action) {
	w, run := n.net, n.run
	reaches := !w.down && !w.cut[[2]int{n.id, -1}]
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendPeer:
			for _, o := range w.nodes {
				if name(o.id) == a.Instance {
					n.send(o, func() { o.handle(name(n.id), proto.Clone(a.Message).(*pb.PeerMessage)) })
				}
			}
		case action.ReadObjects:
			w.calls++
			objects, revision := w.since(a.Since), w.revision
			w.after(func() {
				switch {
				case n.run != run:
				case reaches:
					n.adopt(n.sync.HandleRead(w.now, objects, revision))
				default:
					n.sync.HandleReadFailed(w.now, errLost)
				}
			})
		case action.WatchObjects:
			w.calls++
			n.watching, n.watched, n.progress = true, a.Since, w.now
		case action.StopWatch:
			n.watching = false
		case action.ReadInstances:
			w.calls++
		}
	}
}

func (n *node) pollWatch() {
	w := n.net
	switch {
	case !n.watching:
	case w.down || w.cut[[2]int{n.id, -1}]:
		n.watching = false
		n.do(n.sync.HandleWatchLost(w.now, errLost))
	case w.revision != n.watched || w.now.Sub(n.progress) >= time.Second:
		objects := w.since(n.watched)
		n.watched, n.progress = w.revision, w.now
		n.adopt(n.sync.HandleWatch(w.now, objects, w.revision))
	}
}

func (n *node) handle(from string, m *pb.PeerMessage) {
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_ObjectPush:
		changed, actions := n.sync.HandlePush(n.net.now, from, body.ObjectPush)
		if n.net.adoptAny {
			changed = body.ObjectPush.GetObjects()
			for _, o := range changed {
				n.sync.store.objects[o.GetKey()] = o
			}
		}
		n.adopt(changed, actions)
	case *pb.PeerMessage_ObjectPull:
		n.do(n.sync.HandlePull(n.net.now, from, body.ObjectPull))
	}
}

// adopt checks what the other packages of the instance would see.
func (n *node) adopt(changed []*pb.Object, actions []action.Action) {
	for _, o := range changed {
		switch last := n.seen[o.GetKey()]; {
		case o.GetVersion() < last:
			n.net.fail("%s went back to version %d of %s", name(n.id), o.GetVersion(), o.GetKey())
		case o.GetVersion() == last && !n.net.adoptAny:
			n.net.fail("%s reported version %d of %s twice", name(n.id), last, o.GetKey())
		}
		n.seen[o.GetKey()] = o.GetVersion()
	}
	n.do(actions)
	n.check()
}

// check compares with the platform's history: everything up to the revision
// is held, and a confirmation is never younger than it can be.
func (n *node) check() {
	w, revision := n.net, n.sync.Revision()
	if revision < n.revision {
		n.net.fail("%s went back to revision %d", name(n.id), revision)
	}
	n.revision = revision
	for key, o := range w.objects {
		held := n.sync.store.objects[key]
		if o.GetRevision() <= revision && held.GetRevision() != o.GetRevision() {
			w.fail("%s at revision %d lacks %s of revision %d", name(n.id), revision, key, o.GetRevision())
		}
	}
}

func (w *net) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

func (w *net) since(revision uint64) []*pb.Object {
	var out []*pb.Object
	for _, o := range w.objects {
		if o.GetRevision() > revision {
			out = append(out, o)
		}
	}
	return out
}

func (w *net) put(key string, deleted bool) {
	w.revision++
	w.objects[key] = &pb.Object{
		Key: key, Value: []byte(fmt.Sprint(w.revision)), Version: w.objects[key].GetVersion() + 1,
		Revision: w.revision, Deleted: deleted,
	}
}

func (w *net) converged() error {
	for _, n := range w.nodes {
		n.check()
		if w.violation == nil && n.sync.Revision() != w.revision {
			w.fail("%s is at revision %d of %d after healing", name(n.id), n.sync.Revision(), w.revision)
		}
	}
	return w.violation
}

type fault struct {
	Kind, A, B, Steps int
}

var faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind: rapid.IntRange(0, 11).Draw(t, "kind"), A: rapid.IntRange(0, 5).Draw(t, "a"),
		B: rapid.IntRange(-1, 5).Draw(t, "b"), Steps: rapid.SampledFrom([]int{1, 3, 10, 40}).Draw(t, "steps"),
	}
}), 10, 60)

// runFaults carries out writes and faults, heals and checks convergence.
func runFaults(seed uint64, list []fault, adoptAny bool) error {
	w := newNet(6, seed)
	w.adoptAny = adoptAny
	for _, f := range list {
		switch f.Kind {
		case 0, 1, 2:
			w.put(fmt.Sprintf("teams/t%d", f.A), false)
		case 3:
			w.put(fmt.Sprintf("teams/t%d", f.A), true)
		case 4, 5:
			w.cut[[2]int{f.A, f.B}] = true
		case 6:
			clear(w.cut)
		case 7:
			w.down = !w.down
		case 8:
			w.loss = 0.4 - w.loss
		case 9:
			w.delay = 2503*time.Millisecond - w.delay
		case 10:
			w.nodes[f.A].start()
		}
		w.run(time.Duration(f.Steps) * 100 * time.Millisecond)
	}
	clear(w.cut)
	w.down, w.loss, w.delay = false, 0, 3*time.Millisecond
	w.run(10 * time.Second)
	return w.converged()
}

// Guards against reverted versions, gaps below the revision, and instances
// that stay behind after faults.
func TestFaultsNeverRevertObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaults(rapid.Uint64().Draw(t, "seed"), faults.Draw(t, "faults"), false); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that finds nothing: adopting any pushed version has
// to lead to a violation.
func TestAdoptingAnyPushIsFound(t *testing.T) {
	for seed := range 100 {
		if err := runFaults(uint64(seed), faults.Example(seed), true); err != nil {
			t.Logf("seed %d: %v", seed, err)
			require.ErrorContains(t, err, "went back to version")
			return
		}
	}
	t.Fatal("no violation found")
}

// Guards against more platform calls than 0.2/s per instance in steady state,
// and against more than two watchers per failure domain.
func TestSteadyStatePlatformCalls(t *testing.T) {
	w := newNet(6, 1)
	w.put("teams/a", false)
	w.run(10 * time.Second)
	before := w.calls
	const seconds = 300
	w.run(seconds * time.Second)
	watching := 0
	for _, n := range w.nodes {
		if n.watching {
			watching++
		}
	}
	require.Equal(t, 2*WatchersPerDomain, watching)
	rate := float64(w.calls-before) / seconds / float64(len(w.nodes))
	t.Logf("%.3f calls/s per instance", rate)
	require.LessOrEqual(t, rate, 0.2)
}

// Guards against adopting a platform that was restored from a backup.
func TestRestoredPlatformIsNotAdopted(t *testing.T) {
	w := newNet(6, 1)
	for range 5 {
		w.put("teams/a", false)
	}
	w.run(5 * time.Second)
	w.down = true
	w.run(time.Second)
	w.objects = map[string]*pb.Object{}
	w.revision = 0
	w.put("teams/a", false)
	w.down = false
	confirmed := w.now
	w.run(20 * time.Second)
	for _, n := range w.nodes {
		require.Equal(t, uint64(5), n.sync.Get("teams/a").GetVersion())
		require.True(t, n.sync.ConfirmedAt().Before(confirmed), "the restored platform confirms nothing")
		if n.sync.rank < WatchersPerDomain {
			var regression *RegressionError
			require.ErrorAs(t, n.sync.Err(), &regression)
			require.Equal(t, RegressionError{Platform: 1, Own: 5}, *regression)
			require.Positive(t, n.sync.Stats().Regressions)
		}
	}
}

// Guards against an instance that takes over less than its peers have, or is
// ready too early, while the platform is down.
func TestJoinWithPlatformDown(t *testing.T) {
	w := newNet(6, 1)
	w.put("teams/a", false)
	w.run(3 * time.Second)
	w.down = true
	n := w.nodes[5]
	for id := range 3 {
		w.cut[[2]int{id, 5}] = true
	}
	n.start()
	w.run(5 * time.Second)
	require.False(t, n.sync.Ready(), "2 of 5 peers answered")
	require.Equal(t, uint64(1), n.sync.Revision())
	delete(w.cut, [2]int{0, 5})
	w.run(2 * time.Second)
	require.True(t, n.sync.Ready())
}
