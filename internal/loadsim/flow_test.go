package loadsim

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/forward"
)

// sendRequest sends a request over the user's open flow, or over a new one. The request
// fails after maxTries.
func (u *user) sendRequest(w *world, r *request) {
	if r.done {
		return
	}
	if r.tries == maxTries {
		r.done, r.failed = true, true
		return
	}
	r.tries++
	if u.flow == nil || u.flow.ended {
		u.port++
		u.flow = &flow{Flow: forward.Flow{
			Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(u.n / 250), byte(u.n % 250)}), uint16(u.port)),
			Service: serviceAddress,
		}, seq: uint32(w.rng.Uint64())}
	}
	f := u.flow
	retry := func() {
		f.ended = true
		u.sendRequest(w, r)
	}
	if f.open {
		w.sendData(u, f, r, retry)
		return
	}
	f.waiting = append(f.waiting, openWaiter{func() { w.sendData(u, f, r, retry) }, retry})
	if len(f.waiting) > 1 {
		return
	}
	for n, delay := range openCopies {
		w.after(delay, func() {
			if !f.open && !f.ended {
				w.sendOpen(u, f, uint32(n))
			}
		})
	}
	w.after(openTimeout, func() {
		if !f.open && !f.ended {
			f.abandon()
		}
	})
}

// openWaiter holds the callbacks of a request that waits for its flow to open.
type openWaiter struct{ opened, failed func() }

// abandon ends a flow that did not open and retries its requests.
func (f *flow) abandon() {
	f.ended = true
	waiting := f.waiting
	f.waiting = nil
	for _, waiter := range waiting {
		waiter.failed()
	}
}

// sendOpen sends one copy of the opening packet; copies is the number of earlier copies.
func (w *world) sendOpen(u *user, f *flow, copies uint32) {
	packet := &forward.Packet{Flow: f.Flow, Open: true, Copy: copies, Seq: f.seq}
	w.send(u, packet, func(entry *catalog.Entry, target *upstream) {
		if target.ended {
			w.after(callerDelay, func() {
				if !f.open && !f.ended {
					f.abandon()
				}
			})
			return
		}
		target.opens = append(target.opens, w.now)
		w.after(callerDelay, func() {
			if f.open || f.ended {
				return
			}
			f.open, f.upstream, f.cookie = true, target, uint32(entry.Cookie)
			target.flows[f.Flow] = true
			for _, waiter := range f.waiting {
				waiter.opened()
			}
		})
	}, func() {
		if !f.open && !f.ended {
			f.abandon()
		}
	})
}

// sendData sends a request, and copies of it until the upstream has received it.
func (w *world) sendData(u *user, f *flow, r *request, retry func()) {
	const size = 100
	f.sent += size
	f.retries = append(f.retries, retry)
	seq, arrived := f.seq+f.sent, false
	for _, delay := range dataCopies {
		w.after(delay, func() {
			if arrived || f.ended || r.done {
				return
			}
			packet := &forward.Packet{Flow: f.Flow, Cookie: flowcookie.Cookie(f.cookie), Seq: seq - size, Ack: f.received, Data: size}
			w.send(u, packet, func(_ *catalog.Entry, target *upstream) {
				switch {
				case arrived:
				case target != f.upstream:
					w.broken++
				case target.ended || !target.flows[f.Flow]:
					w.after(callerDelay, retry)
				case w.rng.Float64() < target.failing:
					arrived = true
					delete(target.flows, f.Flow)
					w.failures = append(w.failures, w.now)
					w.after(callerDelay, retry)
				default:
					arrived = true
					target.accept(w, r, func() {
						f.received += 1000
						f.ended = f.ended || w.rng.Float64() < w.closing
						ack := &forward.Packet{Flow: f.Flow, Cookie: flowcookie.Cookie(f.cookie), Seq: seq, Ack: f.received}
						w.send(u, ack, func(*catalog.Entry, *upstream) {}, func() {})
					}, retry)
				}
			}, retry)
		})
	}
}

// send passes a packet through an instance to an upstream. It calls delivered when the
// upstream receives it, or reset when the instance resets the flow.
func (w *world) send(u *user, p *forward.Packet, delivered func(*catalog.Entry, *upstream), reset func()) {
	i := w.route(p.Flow, u.domain)
	w.after(callerDelay, func() {
		if !i.alive {
			return
		}
		if w.rehashing && !p.Open {
			u := w.upstreams[int(p.Flow.Caller.Port())%len(w.upstreams)]
			p.Cookie = flowcookie.Of(u.ID, u.Born)
		}
		d := i.engine.Decide(w.now, p)
		i.runProbes()
		w.reportLost(i)
		switch d.Action {
		case forward.Reset:
			if !p.Open {
				w.resets++
			}
			if p.Data > 0 {
				w.late = append(w.late, w.now)
			}
			w.after(callerDelay, reset)
		case forward.Forward:
			target := w.find(d.Upstream.ID)
			delay := localDelay
			if target.FailureDomain != i.domain {
				delay = remoteDelay
			}
			if target.silent || !w.reach(i.domain, target.FailureDomain) {
				if !p.Open {
					w.lost = append(w.lost, w.now)
				}
				return
			}
			w.after(delay, func() { delivered(d.Upstream, target) })
		}
	})
}

// accept serves or queues a request, or refuses it when the queue is full.
func (u *upstream) accept(w *world, r *request, answered, refused func()) {
	if u.running < slots {
		u.serve(w, r, answered)
		return
	}
	if len(u.waiting) >= queueLength {
		w.after(callerDelay, refused)
		return
	}
	u.waiting = append(u.waiting, r)
	r.start = func() { u.serve(w, r, answered) }
}

// serve works on a request for a random service time. It then starts the next request of
// the queue, and answers unless the upstream has become silent or ended meanwhile.
func (u *upstream) serve(w *world, r *request, answered func()) {
	u.running++
	u.served++
	work := time.Duration((0.5 + w.rng.ExpFloat64()*0.5) * float64(meanServiceTime) * max(u.factor, 1))
	w.after(work, func() {
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next.start()
		}
		if u.silent || u.ended {
			return
		}
		w.after(callerDelay, func() {
			answered()
			if !r.done {
				r.done, r.answered = true, w.now
			}
		})
	})
}

// resetFlow ends a flow at its caller, which retries the requests without an answer.
func (w *world) resetFlow(f forward.Flow) {
	for _, u := range w.users {
		if u.flow != nil && u.flow.Flow == f {
			u.flow.ended = true
			retries := u.flow.retries
			for _, retry := range retries {
				w.after(callerDelay, retry)
			}
		}
	}
}
