package configsync

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

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

// check compares with the platform: the revision never goes back, and
// everything up to it is held.
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
