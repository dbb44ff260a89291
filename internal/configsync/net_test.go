package configsync

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

var errLost = errors.New("connection lost")

// cluster simulates instances with one clock, a platform and a network that
// reorders messages. Membership views hold the state that each instance sent in
// its last heartbeat, once a second.
type cluster struct {
	rng          *rand.Rand
	now          time.Time
	nodes        []*node
	queue        []message
	blockedLinks map[[2]int]bool // blocked links by sender and receiver id; the platform is -1
	platformDown bool            // the platform answers nobody
	loss         float64         // probability that a message between peers is lost
	delay        time.Duration   // upper bound of the random delivery delay
	objects      map[string]*pb.Object
	revision     uint64
	written      map[string]*pb.Object // latest write of the operators by key
	writes       int                   // number of these writes; the value of an object is its number
	copies       []platformCopy        // content before each write, oldest first
	withoutEras  bool                  // a restored platform stays in era 0
	calls        int                   // calls to the platform
	adoptAny     bool                  // deliberate fault: every pushed object is adopted
	violation    error
}

// platformCopy is the content of the platform before a time.
type platformCopy struct {
	before   time.Time
	objects  map[string]*pb.Object
	revision uint64
}

// message is the delivery of a message at a later time.
type message struct {
	at      time.Time
	deliver func()
}

// node is one simulated instance. Its id is the index in cluster.nodes.

type node struct {
	cluster          *cluster
	id               int
	sync             *Sync
	run              uint64                    // number of starts; a message to an earlier run is dropped
	reported         map[string]*pb.Object     // latest object reported as changed, by object key
	heartbeats       map[int]membership.Member // latest heartbeat, by node id
	watching         bool
	watchedRevision  uint64    // revision of the last watch message
	lastWatchMessage time.Time // time of the last watch message
	checkedRevision  uint64    // highest revision seen by check
}

func nodeName(id int) string { return fmt.Sprintf("node-%d", id) }

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		blockedLinks: map[[2]int]bool{}, objects: map[string]*pb.Object{}, written: map[string]*pb.Object{}, delay: 3 * time.Millisecond,
	}
	for id := range n {
		c.nodes = append(c.nodes, &node{cluster: c, id: id})
		c.nodes[id].start()
	}
	return c
}

func (n *node) start() {
	n.run++
	var peers []string
	for id := range 6 {
		if id != n.id {
			peers = append(peers, nodeName(id))
		}
	}
	n.sync = New(Config{Peers: peers}, nodeName(n.id), rand.New(rand.NewPCG(n.cluster.rng.Uint64(), 2)))
	n.reported, n.heartbeats, n.watching, n.checkedRevision = map[string]*pb.Object{}, map[int]membership.Member{}, false, 0
}

// view returns the membership view that follows from the received heartbeats.
func (n *node) view() *membership.View {
	self := membership.Member{
		Name: nodeName(n.id), FailureDomain: fmt.Sprintf("d%d", n.id%2), Incarnation: n.run,
		State: membership.Alive, Revision: n.sync.Revision(), Ready: n.sync.Ready(), LastHeard: n.cluster.now,
	}
	v := &membership.View{Self: self}
	for id := range n.cluster.nodes {
		m, ok := n.heartbeats[id]
		if id == n.id {
			m, ok = self, true
		}
		if n.cluster.now.Sub(m.LastHeard) > 3*time.Second {
			m.State = membership.Suspect
		}
		if ok {
			v.Members = append(v.Members, m)
		}
	}
	return v
}

// step advances the clock by 100 ms, delivers the messages that are due and ticks
// all instances.
func (c *cluster) step() {
	c.now = c.now.Add(100 * time.Millisecond)
	slices.SortStableFunc(c.queue, func(a, b message) int { return a.at.Compare(b.at) })
	for len(c.queue) > 0 && !c.queue[0].at.After(c.now) {
		m := c.queue[0]
		c.queue = c.queue[1:]
		m.deliver()
	}
	for _, n := range c.nodes {
		n.adopt(n.sync.Settle(), nil)
		n.perform(n.sync.Tick(c.now, n.view()))
		n.pollWatch()
		if c.now.UnixMilli()/100%10 == int64(n.id) {
			n.heartbeat()
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		c.step()
	}
}

func (n *node) heartbeat() {
	self := n.view().Self
	self.ConfirmedAt, self.ConfirmedRevision = n.sync.ConfirmedAt(), self.Revision
	for _, o := range n.cluster.nodes {
		n.send(o, func() { o.heartbeats[n.id] = self })
	}
}

func (n *node) send(o *node, deliver func()) {
	c, run := n.cluster, o.run
	if o == n || c.blockedLinks[[2]int{n.id, o.id}] || c.rng.Float64() < c.loss {
		return
	}
	c.deliverLater(func() {
		if o.run == run {
			deliver()
		}
	})
}

func (c *cluster) deliverLater(deliver func()) {
	c.queue = append(c.queue, message{at: c.now.Add(time.Duration(c.rng.Int64N(int64(c.delay)))), deliver: deliver})
}

func (n *node) perform(actions []action.Action) {
	c, run := n.cluster, n.run
	platformReachable := !c.platformDown && !c.blockedLinks[[2]int{n.id, -1}]
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendPeer:
			for _, o := range c.nodes {
				if nodeName(o.id) == a.Instance {
					n.send(o, func() { o.handle(nodeName(n.id), proto.Clone(a.Message).(*pb.PeerMessage)) })
				}
			}
		case action.ReadObjects:
			c.calls++
			objects, revision := c.since(a.Since), c.revision
			c.deliverLater(func() {
				switch {
				case n.run != run:
				case platformReachable:
					n.adopt(n.sync.HandleRead(c.now, objects, revision))
				default:
					n.sync.HandleReadFailed(c.now, errLost)
				}
			})
		case action.WatchObjects:
			c.calls++
			n.watching, n.watchedRevision, n.lastWatchMessage = true, a.Since, c.now
		case action.StopWatch:
			n.watching = false
		case action.ReadInstances:
			c.calls++
		}
	}
}

func (n *node) pollWatch() {
	c := n.cluster
	switch {
	case !n.watching:
	case c.platformDown || c.blockedLinks[[2]int{n.id, -1}]:
		n.watching = false
		n.perform(n.sync.HandleWatchLost(c.now, errLost))
	case c.revision != n.watchedRevision || c.now.Sub(n.lastWatchMessage) >= time.Second:
		objects := c.since(n.watchedRevision)
		n.watchedRevision, n.lastWatchMessage = c.revision, c.now
		n.adopt(n.sync.HandleWatch(c.now, objects, c.revision))
	}
}

func (n *node) handle(from string, m *pb.PeerMessage) {
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_ObjectPush:
		changed, actions := n.sync.HandlePush(n.cluster.now, from, body.ObjectPush)
		if n.cluster.adoptAny {
			changed = body.ObjectPush.GetObjects()
			for _, o := range changed {
				n.sync.store.objects[o.GetKey()] = o
			}
		}
		n.adopt(changed, actions)
	case *pb.PeerMessage_ObjectPull:
		n.perform(n.sync.HandlePull(n.cluster.now, from, body.ObjectPull))
	}
}

// adopt checks the changes that are reported to the rest of the instance: no
// object goes back to an older write, and none is reported twice in one era.
func (n *node) adopt(changed []*pb.Object, actions []action.Action) {
	for _, o := range changed {
		last := n.reported[o.GetKey()]
		switch {
		case last == nil:
		case writeNumber(o) < writeNumber(last):
			n.cluster.fail("%s went back to version %d of %s", nodeName(n.id), o.GetVersion(), o.GetKey())
		case writeNumber(o) == writeNumber(last) && position.Era(o.GetRevision()) == position.Era(last.GetRevision()) && !n.cluster.adoptAny:
			n.cluster.fail("%s reported version %d of %s twice, at revisions %d:%d and %d:%d", nodeName(n.id), o.GetVersion(), o.GetKey(),
				position.Era(last.GetRevision()), position.Revision(last.GetRevision()), position.Era(o.GetRevision()), position.Revision(o.GetRevision()))
		}
		n.reported[o.GetKey()] = o
	}
	n.perform(actions)
	n.check()
}

// check compares the instance with the platform: its revision never decreases,
// and it holds all changes up to its revision.
func (n *node) check() {
	c, revision := n.cluster, n.sync.Revision()
	if revision < n.checkedRevision {
		n.cluster.fail("%s went back to revision %d", nodeName(n.id), revision)
	}
	n.checkedRevision = revision
	for key, o := range c.objects {
		held := n.sync.store.objects[key]
		if o.GetRevision() <= revision && held.GetRevision() != o.GetRevision() {
			c.fail("%s at revision %d does not hold %s of revision %d", nodeName(n.id), revision, key, o.GetRevision())
		}
	}
}

func (c *cluster) fail(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

func (c *cluster) since(revision uint64) []*pb.Object {
	var out []*pb.Object
	for _, o := range c.objects {
		if o.GetRevision() > revision {
			out = append(out, o)
		}
	}
	return out
}

// writeNumber returns the number of the operators' write that an object holds.
func writeNumber(o *pb.Object) int {
	number, _ := strconv.Atoi(string(o.GetValue())) // 0 for an object without a value
	return number
}

// put makes a write of the operators.
func (c *cluster) put(key string, deleted bool) {
	c.writes++
	c.written[key] = &pb.Object{Key: key, Value: []byte(fmt.Sprint(c.writes)), Deleted: deleted}
	c.store(key)
}

// store stores the latest write of a key.
func (c *cluster) store(key string) {
	c.copies = append(c.copies, platformCopy{before: c.now, objects: maps.Clone(c.objects), revision: c.revision})
	c.revision++
	o := proto.Clone(c.written[key]).(*pb.Object)
	o.Version, o.Revision, o.ChangeId = c.objects[key].GetVersion()+1, c.revision, fmt.Sprint("change-", len(c.copies))
	c.objects[key] = o
}

// restore restores the platform from a copy of age before. The operators write again
// what was lost, each key after up to 0.3 s.
func (c *cluster) restore(age time.Duration) {
	backup := platformCopy{objects: c.objects, revision: c.revision}
	for _, copied := range slices.Backward(c.copies) {
		if copied.before.Before(c.now.Add(-age)) {
			break
		}
		backup = copied
	}
	era := position.Era(c.revision) + 1
	if c.withoutEras {
		era = 0
	}
	c.revision, c.objects = must(position.Of(era, position.Revision(backup.revision))), map[string]*pb.Object{}
	for key, o := range backup.objects {
		restored := proto.Clone(o).(*pb.Object)
		restored.Revision = must(position.Of(era, position.Revision(o.GetRevision())))
		c.objects[key] = restored
	}
	for _, n := range c.nodes {
		if n.watching {
			n.watching = false
			n.perform(n.sync.HandleWatchLost(c.now, errLost))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.written)) {
		if !bytes.Equal(c.objects[key].GetValue(), c.written[key].GetValue()) {
			c.queue = append(c.queue, message{at: c.now.Add(time.Duration(c.rng.IntN(300)) * time.Millisecond), deliver: func() {
				if !bytes.Equal(c.objects[key].GetValue(), c.written[key].GetValue()) {
					c.store(key)
				}
			}})
		}
	}
}

func must(at uint64, err error) uint64 {
	if err != nil {
		panic(err) // The eras and revisions of a test are small.
	}
	return at
}

// converged checks that all instances hold the platform's revision and returns the
// first violation of the run.
func (c *cluster) converged() error {
	for _, n := range c.nodes {
		n.check()
		if c.violation == nil && n.sync.Revision() != c.revision {
			c.fail("%s is at revision %d instead of %d after all faults ended", nodeName(n.id), n.sync.Revision(), c.revision)
		}
	}
	return c.violation
}
