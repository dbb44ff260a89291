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
	// maxRequestPause is the longest pause between two requests of a caller outside of
	// bursts.
	maxRequestPause = 100 * time.Millisecond
	// maxRequestsPerFlow is the largest number of requests of a flow of most callers;
	// the number of each flow is drawn from 1 to this.
	maxRequestsPerFlow = 60
	// requestTimeout is the time within which a request must be served, with all
	// its attempts.
	requestTimeout = 2 * time.Second
	// maxAttempts is the number of flows on which a request is attempted.
	maxAttempts = 3
	// openTimeout is the time within which an opening packet or one of its
	// retransmissions must be answered.
	openTimeout = 1400 * time.Millisecond
	// firstRetransmitDelay is the time before the first retransmission of a
	// packet. It doubles with each further one.
	firstRetransmitDelay = 200 * time.Millisecond
)

var (
	errReset   = errors.New("flow was reset")
	errRefused = errors.New("upstream refused the request")
	errTimeout = errors.New("no answer within the timeout")
)

// caller sends requests to a service, one at a time, over flows. It keeps a flow for
// a random number of requests, or until a request fails.
type caller struct {
	fleet   *fleet
	checker *checker
	conn    *net.UDPConn
	// address is the caller's own address, service the one that it sends to.
	address netip.Addr
	service netip.AddrPort
	// domain is the failure domain whose instances get the packets.
	domain string
	// maxPause is the longest pause between two requests.
	maxPause time.Duration
	// maxRequests is the largest number of requests of a flow.
	maxRequests int
	// uncounted is set if the results of the requests are not recorded.
	uncounted bool
	rng       *rand.Rand
	// port is the source port of the last flow; each flow has the next one.
	port uint16

	// The rest describes the current flow. seq and ack are the next sequence numbers
	// of the caller and of the upstream.
	local        netip.AddrPort
	seq          uint32
	ack          uint32
	cookie       uint32
	flowOpen     bool
	requestsLeft int
}

// run sends requests and records their results until ctx ends, then closes the
// flow and the socket. A request that fails is attempted again on a new flow.
func (caller *caller) run(ctx context.Context) {
	defer func() { _ = caller.conn.Close() }() // Datagrams are not buffered, so that closing loses none.
	for ctx.Err() == nil {
		start := time.Now()
		err := errTimeout
		for range maxAttempts {
			if err = caller.sendRequest(ctx, start.Add(requestTimeout)); err == nil || time.Since(start) >= requestTimeout {
				break
			}
		}
		if ctx.Err() == nil && !caller.uncounted {
			caller.checker.recordRequest(requestResult{startedAt: start, took: time.Since(start), served: err == nil})
		}
		caller.pause(ctx, time.Duration(caller.rng.Int64N(int64(caller.maxPause))))
	}
	caller.closeFlow()
}

// pause waits for a time, or until ctx ends, and then forgets the flow if it was reset
// meanwhile.
func (caller *caller) pause(ctx context.Context, span time.Duration) {
	defer context.AfterFunc(ctx, func() { _ = caller.conn.SetReadDeadline(time.Now()) })()
	until, reset := time.Now().Add(span), false
	for ctx.Err() == nil && caller.conn.SetReadDeadline(until) == nil {
		answer, err := caller.receive()
		if err != nil {
			break
		}
		reset = reset || answer != nil && answer.Reset
	}
	if reset {
		caller.forgetFlow()
	}
}

// receive receives a packet until the read deadline. It returns nil if the packet does not
// belong to the flow. A reset by an instance is checked.
func (caller *caller) receive() (*standin.Packet, error) {
	buffer := make([]byte, 2048)
	n, from, err := caller.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return nil, err
	}
	var p standin.Packet
	if p.Parse(buffer[:n]) != nil || p.Destination != caller.local || p.Source != caller.service {
		return nil, nil
	}
	if p.Reset && !p.HasChecksum && caller.flowOpen {
		caller.checker.checkReset(caller.local, caller.service, from.Addr().Unmap().String())
	}
	return &p, nil
}

// sendRequest makes one attempt at a request, on a new flow if none is open.
func (caller *caller) sendRequest(ctx context.Context, deadline time.Time) error {
	if !caller.flowOpen {
		if err := caller.openFlow(ctx, deadline); err != nil {
			return err
		}
	}
	data := make([]byte, 100)
	request := standin.Packet{
		Source: caller.local, Destination: caller.service, Ack: true, HasChecksum: true, Seq: caller.seq, AckNumber: caller.ack, Cookie: caller.cookie, Data: data,
	}
	answer, err := caller.sendUntilAnswered(ctx, &request, deadline, func(p *standin.Packet) bool {
		return len(p.Data) > 0 && p.AckNumber == caller.seq+uint32(len(data))
	})
	if err != nil {
		caller.forgetFlow()
		return err
	}
	caller.seq += uint32(len(data))
	caller.ack += uint32(len(answer.Data))
	caller.fleet.sendToInstance(caller.domain, &standin.Packet{
		Source: caller.local, Destination: caller.service, Ack: true, HasChecksum: true, Seq: caller.seq, AckNumber: caller.ack, Cookie: caller.cookie,
	})
	refused := len(answer.Data) < len(data)
	if caller.requestsLeft--; caller.requestsLeft <= 0 || refused {
		caller.closeFlow()
	}
	if refused {
		return errRefused
	}
	return nil
}

// openFlow opens a flow from a new port. The upstream's first sequence number is
// that of the opening packet XOR its token, which tells which upstream took the
// flow.
func (caller *caller) openFlow(ctx context.Context, deadline time.Time) error {
	caller.port++
	caller.local = netip.AddrPortFrom(caller.address, caller.port)
	caller.seq, caller.requestsLeft = caller.rng.Uint32(), 1+caller.rng.IntN(caller.maxRequests)
	sentAt := time.Now()
	open := standin.Packet{Source: caller.local, Destination: caller.service, Open: true, HasChecksum: true, Seq: caller.seq}
	if openDeadline := time.Now().Add(openTimeout); openDeadline.Before(deadline) {
		deadline = openDeadline
	}
	answer, err := caller.sendUntilAnswered(ctx, &open, deadline, func(p *standin.Packet) bool { return p.Open && p.Ack && p.AckNumber == caller.seq+1 })
	if err != nil {
		return err
	}
	caller.seq, caller.ack, caller.cookie, caller.flowOpen = caller.seq+1, answer.Seq+1, answer.Cookie, true
	caller.checker.recordFlow(caller.local, caller.fleet.upstreamByToken(answer.Seq^(caller.seq-1)), sentAt)
	return nil
}

// sendUntilAnswered sends a packet, and retransmits it until accept returns true for
// an answer. It fails with errReset or errTimeout, or an error of the socket. An
// opening packet carries the number of its retransmissions.
func (caller *caller) sendUntilAnswered(ctx context.Context, p *standin.Packet, deadline time.Time, accept func(*standin.Packet) bool) (*standin.Packet, error) {
	delay := firstRetransmitDelay
	for retransmits := uint32(0); ; retransmits++ {
		if p.Open {
			p.AckNumber = retransmits
		}
		caller.fleet.sendToInstance(caller.domain, p)
		until := time.Now().Add(delay)
		if until.After(deadline) {
			until = deadline
		}
		delay *= 2
		for {
			if err := caller.conn.SetReadDeadline(until); err != nil {
				return nil, err
			}
			answer, err := caller.receive()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
			if err != nil {
				return nil, err
			}
			if answer != nil && answer.Reset {
				return nil, errReset
			}
			if answer != nil && accept(answer) {
				return answer, nil
			}
		}
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return nil, errTimeout
		}
	}
}

// closeFlow tells the upstream that the flow ends, and forgets it.
func (caller *caller) closeFlow() {
	if caller.flowOpen {
		caller.fleet.sendToInstance(caller.domain, &standin.Packet{
			Source: caller.local, Destination: caller.service, Ack: true, Fin: true, HasChecksum: true, Seq: caller.seq, AckNumber: caller.ack, Cookie: caller.cookie,
		})
	}
	caller.forgetFlow()
}

// forgetFlow forgets the flow without telling the upstream.
func (caller *caller) forgetFlow() {
	caller.flowOpen = false
	caller.checker.forgetFlow(caller.local)
}
