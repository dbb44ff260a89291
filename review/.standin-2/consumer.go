package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/chivemast/chivemast/platform/standin"
)

const (
	openLimit = 1400 * time.Millisecond
	// minPause and maxPause bound the pause between two requests of a user: with 297 users
	// they make about as many requests as the deployment's consumers.
	minPause = 200 * time.Millisecond
	maxPause = 1400 * time.Millisecond
	// minFlow and maxFlow bound the time after which a user opens another flow.
	minFlow = 5 * time.Second
	maxFlow = 20 * time.Second
	// resetWindow is the greatest distance of a reset from the last acknowledgement with which an
	// open flow takes it.
	resetWindow = 76_800
	// flowLimit is max_flow_s.
	flowLimit = 60 * time.Second
)

// client is a consumer's machine with one address, users each with flows of their own.
type client struct {
	w    *world
	zone string
	conn *net.UDPConn
	addr netip.Addr

	mu    sync.Mutex
	port  uint16
	users map[uint16]*flow
}

// flow is the consumer's end of a flow.
type flow struct {
	c        *client
	local    netip.AddrPort
	service  netip.AddrPort
	packets  chan standin.Packet
	openedAt time.Time
	// answeredBy holds the first sequence numbers of the hosts that answered the opening packet.
	answeredBy map[uint32]bool
	hostSeq    uint32
	seq, ack   uint32
	// echo is the last echo that was received on the flow.
	echo   uint32
	open   bool
	closed bool
}

func (w *world) startClient(zone string, n int) (*client, error) {
	c := &client{w: w, zone: zone, addr: w.addr(groupConsumer, n), port: uint16(20000 + rand.IntN(20000)), users: map[uint16]*flow{}}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, trafficPort))); err != nil {
		return nil, err
	}
	go c.receive()
	return c, nil
}

// receive passes the packets to the flows.
func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var p standin.Packet
		if p.Parse(buffer[:n]) != nil {
			c.w.breakRule("MIXED", "consumer %s got a datagram that is no packet", c.addr)
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		c.mu.Lock()
		f := c.users[p.Destination.Port()]
		c.mu.Unlock()
		if f == nil || p.Destination != f.local || p.Source != f.service {
			continue
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

func (c *client) newFlow(service netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{
		c: c, local: netip.AddrPortFrom(c.addr, c.port), service: service, packets: make(chan standin.Packet, 64),
		seq: rand.Uint32(), answeredBy: map[uint32]bool{},
	}
	c.users[c.port] = f
	return f
}

func (c *client) forget(f *flow) {
	f.closed = true
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.users, f.local.Port())
}

func (f *flow) packet() standin.Packet {
	return standin.Packet{Source: f.local, Destination: f.service, Ack: true, HasChecksum: true, Seq: f.seq, AckNumber: f.ack, Cookie: f.echo}
}

func (f *flow) send(p standin.Packet) { f.c.w.toSystem(f.c.zone, &p) }

// result says how waiting for a packet ended.
type result int

const (
	gotNothing result = iota
	gotAnswer
	gotReset
	gotEnd
)

// handle takes a packet of the flow. It returns gotAnswer for the answer to a request and for
// the answer to the opening packet.
func (f *flow) handle(p *standin.Packet) result {
	w := f.c.w
	if p.Reset {
		if distance := int32(p.Seq - f.ack); f.open && (distance < -resetWindow || distance > resetWindow) {
			return gotNothing
		}
		f.judgeReset(p)
		return gotReset
	}
	f.echo = p.Cookie
	if p.Open {
		if !f.answeredBy[p.Seq] {
			f.answeredBy[p.Seq] = true
			if len(f.answeredBy) == 2 {
				w.twice.Add(1)
				w.logf("%s: a second host answers the opening packet, echo %08x", f.local, p.Cookie)
			}
		}
		if f.open {
			// An established connection answers a SYN+ACK with an acknowledgement, that of
			// the own host and that of another one alike (RFC 9293, "SEGMENT ARRIVES").
			f.send(f.packet())
			return gotNothing
		}
		f.open, f.openedAt, f.hostSeq = true, time.Now(), p.Seq
		f.seq, f.ack = f.seq+1, p.Seq+1
		w.opened.Add(1)
		f.send(f.packet())
		return gotAnswer
	}
	if !f.open || (len(p.Data) == 0 && !p.Fin) {
		return gotNothing
	}
	if p.Seq != f.ack {
		f.send(f.packet()) // Received before: the acknowledgement was lost.
		return gotNothing
	}
	f.ack += uint32(len(p.Data))
	if p.Fin {
		f.ack++
	}
	f.send(f.packet())
	switch {
	case len(p.Data) > 0 && p.Fin:
		f.finish()
		return gotAnswer
	case p.Fin:
		f.finish()
		return gotEnd
	}
	return gotAnswer
}

// finish ends the flow from this end.
func (f *flow) finish() {
	end := f.packet()
	end.Fin = true
	f.send(end)
	f.c.forget(f)
}

// judgeReset applies rule FLOW to a reset.
func (f *flow) judgeReset(p *standin.Packet) {
	w := f.c.w
	by := "the system"
	if p.HasChecksum {
		by = "a host"
	}
	owner := w.ownerOf(f.local)
	if !f.open || owner == nil {
		return
	}
	age := time.Since(f.openedAt)
	if !owner.holds(f.local) || age > flowLimit {
		return
	}
	w.breakRule("FLOW", "flow %s to %s is open at host %s since %d ms and is reset by %s", f.local, f.service, owner.up.ID, age.Milliseconds(), by)
}

// open opens a flow. It tells whether that succeeded.
func (c *client) open(service netip.AddrPort) (*flow, bool) {
	f := c.newFlow(service)
	syn := standin.Packet{Source: f.local, Destination: service, Open: true, HasChecksum: true, Seq: f.seq}
	began := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openLimit}
	for n := range 3 {
		syn.AckNumber = uint32(n)
		c.w.toSystem(c.zone, &syn)
		timer := time.NewTimer(time.Until(began.Add(copies[n+1])))
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case p := <-f.packets:
				switch f.handle(&p) {
				case gotAnswer:
					timer.Stop()
					return f, true
				case gotReset:
					timer.Stop()
					c.forget(f)
					return f, false
				}
			}
		}
	}
	c.forget(f)
	return f, false
}

// wait handles packets for a time, or until one has the awaited result.
func (f *flow) wait(span time.Duration) result {
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return gotNothing
		case p := <-f.packets:
			if r := f.handle(&p); r != gotNothing {
				return r
			}
		}
	}
}

// request makes one attempt on an open flow.
func (f *flow) request(method, id string, limit time.Duration) result {
	text := fmt.Sprintf("%s / HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n\r\n", method, id)
	data := f.packet()
	data.Data = []byte(text)
	f.seq += uint32(len(text))
	deadline := time.Now().Add(limit)
	for wait := firstResend; time.Now().Before(deadline); wait = min(2*wait, lastResend) {
		data.Cookie, data.AckNumber = f.echo, f.ack
		f.send(data)
		if r := f.wait(min(wait, time.Until(deadline))); r != gotNothing {
			return r
		}
	}
	return gotNothing
}

// user makes requests on long flows, with pauses, until ctx ends.
func (c *client) user(service netip.AddrPort, method string, retries int, limit time.Duration) {
	w := c.w
	var f *flow
	var until time.Time
	for n := 0; w.ctx.Err() == nil; n++ {
		w.requests.Add(1)
		began, served := time.Now(), false
		id := fmt.Sprintf("%s-%d-%x", c.addr, n, rand.Uint64())
		for try := 0; try <= retries && !served && time.Since(began) < limit; try++ {
			if f == nil || f.closed {
				var ok bool
				if f, ok = c.open(service); !ok {
					f = nil
					continue
				}
				until = time.Now().Add(minFlow + rand.N(maxFlow-minFlow))
			}
			r := f.request(method, fmt.Sprintf("%s-%d", id, try), limit-time.Since(began))
			served = r == gotAnswer
			if !served {
				c.forget(f)
				f = nil
				if method == "POST" {
					break
				}
			}
		}
		if served {
			w.served.Add(1)
		} else {
			w.failed.Add(1)
			w.logf("request %s of %s is not served", id, c.addr)
		}
		pause := minPause + rand.N(maxPause-minPause)
		if f != nil && !f.closed {
			if r := f.wait(pause); r != gotNothing {
				c.forget(f)
				f = nil
			} else if time.Now().After(until) {
				f.finish()
				f = nil
			}
		} else {
			time.Sleep(pause)
		}
	}
}
