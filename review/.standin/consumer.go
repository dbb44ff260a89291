package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// client is the address of some consumers, with its socket.
type client struct {
	w       *world
	zone    string
	address netip.Addr
	conn    *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan received
}

type received struct {
	p       packet
	written bool
	from    netip.AddrPort
	at      time.Time
}

func (w *world) newClient(zone string, address netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, w.trafficPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &client{w: w, zone: zone, address: address, conn: conn, port: uint16(10000 + rand.IntN(20000)), flows: map[uint16]chan received{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, written, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		if !written && (p.sum != 0 || p.flags != flagRst || len(p.data) != 0) {
			c.w.violation("MIXED", "consumer %s got a packet that its sender didn't write so, from %s", c.address, from)
			continue
		}
		c.mu.Lock()
		flow := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if flow != nil {
			select {
			case flow <- received{p, written, from, time.Now()}:
			default:
			}
		}
	}
}

var (
	errTimeout = errors.New("timeout")
	errReset   = errors.New("reset")
	errClosed  = errors.New("closed by the host")
)

// flow is one flow of a consumer.
type flow struct {
	c        *client
	local    netip.AddrPort
	service  netip.AddrPort
	seq, ack uint32
	echo     uint32
	// open is set when the consumer has accepted a SYN+ACK.
	open     bool
	openedAt time.Time
	lastUsed time.Time
	// idle is how long the flow was idle before the present request.
	idle time.Duration
	in   chan received
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(service netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.port++; c.port < 10000 || c.flows[c.port] != nil; c.port++ {
	}
	f := &flow{c: c, local: netip.AddrPortFrom(c.address, c.port), service: service, seq: rand.Uint32(), in: make(chan received, 16)}
	c.flows[c.port] = f.in
	return f
}

func (f *flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.local.Port())
	f.open = false
}

func (f *flow) send(p *packet) {
	p.src, p.dst, p.echo = f.local, f.service, f.echo
	f.lastUsed = time.Now()
	f.c.w.route(f.c.zone, p)
}

// connect opens the flow: a SYN and copies after 200 and 600 ms; it gives up after 1.4 s.
func (f *flow) connect() error {
	began := time.Now()
	f.c.w.noteSent(f.local, began)
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.echo = 0
		f.send(&packet{flags: flagSyn, seq: f.seq, ack: uint32(copies)})
		timer := time.NewTimer(time.Until(began.Add(until)))
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case r := <-f.in:
				switch {
				case r.p.flags&flagRst != 0:
					timer.Stop()
					return errReset
				case r.p.flags&(flagSyn|flagAck) == flagSyn|flagAck && r.p.ack == f.seq+1:
					timer.Stop()
					f.seq, f.ack, f.echo = f.seq+1, r.p.seq+1, r.p.echo
					f.open, f.openedAt = true, time.Now()
					f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
					return nil
				}
			}
		}
	}
	return errTimeout
}

// request sends a request and waits for its answer until the deadline.
func (f *flow) request(method, id string, deadline time.Time) error {
	text := fmt.Sprintf("%s / HTTP/1.1\r\nHost: service\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", method, id)
	p := packet{flags: flagAck, seq: f.seq, ack: f.ack, data: []byte(text)}
	f.idle = time.Since(f.lastUsed)
	f.send(&p)
	wait, next := retransmitMin, time.Now().Add(retransmitMin)
	acked := false
	for {
		until := deadline
		if !acked && next.Before(deadline) {
			until = next
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-timer.C:
			if !time.Now().Before(deadline) {
				return errTimeout
			}
			p.ack = f.ack
			f.send(&p)
			wait = min(2*wait, retransmitMax)
			next = time.Now().Add(wait)
			continue
		case r := <-f.in:
			timer.Stop()
			switch {
			case !r.written:
				// A reset of the system counts within 76,800 of the last acknowledgement.
				if d := int32(r.p.seq - f.ack); d > -76800 && d < 76800 {
					f.c.w.systemReset(f, r, id)
					return errReset
				}
			case r.p.flags&flagRst != 0:
				return errReset
			case len(r.p.data) > 0 && r.p.seq == f.ack:
				f.echo = r.p.echo
				f.seq = p.seq + uint32(len(text))
				f.ack += uint32(len(r.p.data))
				f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				body := string(r.p.data)
				if header(body, "X-Request-Id") != id {
					f.c.w.violation("MIXED", "flow %s got the answer to another request: %q", f.local, body)
				}
				if header(body, "Connection") == "close" {
					return errClosed
				}
				return nil
			case len(r.p.data) > 0:
				f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
			case r.p.flags&flagAck != 0 && int32(r.p.ack-p.seq) > 0:
				acked = true
			}
		}
	}
}

// wasReset reads what arrived while the flow was idle, and reports whether the flow has
// ended.
func (f *flow) wasReset() bool {
	for {
		select {
		case r := <-f.in:
			d := int32(r.p.seq - f.ack)
			switch {
			case !r.written && d > -76800 && d < 76800:
				f.c.w.systemReset(f, r, "")
				return true
			case r.written && r.p.flags&(flagRst|flagFin) != 0:
				return true
			}
		default:
			return false
		}
	}
}

// close ends the flow.
func (f *flow) close() {
	if f.open {
		f.send(&packet{flags: flagAck | flagFin, seq: f.seq, ack: f.ack})
	}
	f.forget()
}

// habit says how a user behaves.
type habit struct {
	// method is GET for requests that may be repeated, POST for those that may not.
	method string
	// requests is the number of requests on one flow; pauseMin and pauseMax bound the
	// pauses between two of them.
	requests           int
	pauseMin, pauseMax time.Duration
	timeLimit          time.Duration
	retries            int
}

// runUser sends requests until the world ends.
func (c *client) runUser(service netip.AddrPort, h habit) {
	w := c.w
	var f *flow
	left := 0
	drop := func() {
		if f != nil {
			f.forget()
			f = nil
		}
	}
	if !w.sleep(time.Duration(rand.Int64N(int64(h.pauseMax)))) {
		return
	}
	for !w.over() {
		id := w.nextRequest(h.method, c.zone)
		deadline := time.Now().Add(h.timeLimit)
		served, lost := false, false
		if f != nil && f.wasReset() {
			drop()
		}
		for try := 0; try <= h.retries && !served && !lost && time.Now().Before(deadline); try++ {
			if f == nil {
				f, left = c.newFlow(service), h.requests
				if err := f.connect(); err != nil {
					drop()
					continue
				}
			}
			err := f.request(h.method, id, deadline)
			switch {
			case err == nil || errors.Is(err, errClosed):
				served = true
				if left--; left <= 0 || errors.Is(err, errClosed) || time.Since(f.openedAt) > 40*time.Second {
					f.close()
					f = nil
				}
			default:
				drop()
				// What may run only once isn't repeated once the flow was open.
				lost = h.method == "POST"
			}
		}
		w.answered(id, served)
		pause := h.pauseMin + time.Duration(rand.Int64N(int64(h.pauseMax-h.pauseMin)+1))
		if !w.sleep(pause) {
			break
		}
	}
	if f != nil {
		f.close()
	}
}
