package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/chivemast/chivemast/platform/standin"
)

const (
	// requestPause is the longest pause between two requests of a flow.
	requestPause = 100 * time.Millisecond
	// requestsPerFlow is the largest number of requests of a flow.
	requestsPerFlow = 60
	// requestLimit is the time limit of a request.
	requestLimit = 2 * time.Second
	// tries is the number of flows that a request is tried on.
	tries = 3
	// openLimit is the time limit of an opening packet and its copies.
	openLimit = 1400 * time.Millisecond
	// firstRepeat is the time before a packet is sent again; it doubles.
	firstRepeat = 200 * time.Millisecond
)

var (
	errReset   = errors.New("flow was reset")
	errTimeout = errors.New("no answer in time")
)

// caller sends requests to a service, one at a time, over flows that it keeps
// until the other end is gone.
type caller struct {
	fleet   *fleet
	ledger  *ledger
	conn    *net.UDPConn
	address netip.Addr
	service netip.AddrPort
	domain  string
	rng     *rand.Rand
	port    uint16

	local  netip.AddrPort
	seq    uint32
	ack    uint32
	cookie uint32
	open   bool
	left   int
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := errTimeout
		for range tries {
			if err = c.try(ctx, began.Add(requestLimit)); err == nil || time.Since(began) >= requestLimit {
				break
			}
		}
		if ctx.Err() == nil {
			c.ledger.request(outcome{issued: began, took: time.Since(began), served: err == nil})
		}
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(requestPause)))):
		case <-ctx.Done():
		}
	}
	c.close()
}

func (c *caller) try(ctx context.Context, deadline time.Time) error {
	if !c.open {
		if err := c.connect(ctx, deadline); err != nil {
			return err
		}
	}
	data := make([]byte, 100)
	request := standin.Packet{
		Source: c.local, Destination: c.service, Ack: true, HasChecksum: true, Seq: c.seq, AckNumber: c.ack, Cookie: c.cookie, Data: data,
	}
	answer, err := c.exchange(ctx, &request, deadline, func(s *standin.Packet) bool {
		return len(s.Data) > 0 && s.AckNumber == c.seq+uint32(len(data))
	})
	if err != nil {
		c.drop()
		return err
	}
	c.seq += uint32(len(data))
	c.ack += uint32(len(answer.Data))
	c.fleet.send(c.domain, &standin.Packet{
		Source: c.local, Destination: c.service, Ack: true, HasChecksum: true, Seq: c.seq, AckNumber: c.ack, Cookie: c.cookie,
	})
	if c.left--; c.left <= 0 {
		c.close()
	}
	return nil
}

// connect opens a flow from a new port.
func (c *caller) connect(ctx context.Context, deadline time.Time) error {
	c.port++
	c.local = netip.AddrPortFrom(c.address, c.port)
	c.seq, c.left = c.rng.Uint32(), 1+c.rng.IntN(requestsPerFlow)
	open := standin.Packet{Source: c.local, Destination: c.service, Open: true, HasChecksum: true, Seq: c.seq}
	if limit := time.Now().Add(openLimit); limit.Before(deadline) {
		deadline = limit
	}
	answer, err := c.exchange(ctx, &open, deadline, func(s *standin.Packet) bool { return s.Open && s.Ack && s.AckNumber == c.seq+1 })
	if err != nil {
		return err
	}
	c.seq, c.ack, c.cookie, c.open = c.seq+1, answer.Seq+1, answer.Cookie, true
	c.ledger.hold(c.local, c.fleet.upstreamOf(answer.Seq^(c.seq-1)))
	return nil
}

// exchange sends a packet with copies until an answer passes the check.
func (c *caller) exchange(ctx context.Context, s *standin.Packet, deadline time.Time, passes func(*standin.Packet) bool) (*standin.Packet, error) {
	buffer := make([]byte, 2048)
	repeat := firstRepeat
	for copies := uint32(0); ; copies++ {
		if s.Open {
			s.AckNumber = copies
		}
		c.fleet.send(c.domain, s)
		until := time.Now().Add(repeat)
		if until.After(deadline) {
			until = deadline
		}
		repeat *= 2
		for {
			if err := c.conn.SetReadDeadline(until); err != nil {
				return nil, err
			}
			n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
			if err != nil {
				return nil, err
			}
			var answer standin.Packet
			if answer.Parse(buffer[:n]) != nil || answer.Destination != c.local || answer.Source != c.service {
				continue
			}
			if answer.Reset {
				if !answer.HasChecksum && c.open {
					c.ledger.reset(c.local, c.service)
				}
				return nil, errReset
			}
			if passes(&answer) {
				return &answer, nil
			}
		}
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return nil, errTimeout
		}
	}
}

// close ends the flow; drop forgets one that is lost.
func (c *caller) close() {
	if c.open {
		c.fleet.send(c.domain, &standin.Packet{
			Source: c.local, Destination: c.service, Ack: true, Fin: true, HasChecksum: true, Seq: c.seq, AckNumber: c.ack, Cookie: c.cookie,
		})
	}
	c.drop()
}

func (c *caller) drop() {
	c.open = false
	c.ledger.release(c.local)
}
