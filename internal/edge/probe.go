package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/evidence"
)

const (
	// probeTimeout is the time without an answer after which an upstream counts as
	// silent: 50 times the longest round trip in the users' network.
	probeTimeout = 200 * time.Millisecond
	// probeGrace is added to the timeout. When the process was paused, its timers
	// and the answers that arrived during the pause become due together, and the
	// answers must take precedence.
	probeGrace = 20 * time.Millisecond
	// probeLateness is how late the timer of a probe may fire. If it fires later,
	// the instance itself was paused, and the probe is repeated.
	probeLateness = 50 * time.Millisecond
	// dialInterval is the time between the opening packets of one probe, of which any may be
	// lost: the system would repeat the first one only after the probe has ended. It is ten
	// times the longest round trip, and half of the timeout is left after the last one.
	dialInterval = 50 * time.Millisecond
	// maxDials is the maximum number of opening packets of one attempt.
	maxDials = 3
	// maxProbeAttempts is the maximum number of attempts of one probe.
	maxProbeAttempts = 3
	// maxProbes is the maximum number of connection attempts in progress, without
	// control probes. The upstreams of one failure domain of the target size need
	// five rounds.
	maxProbes = 64
	// maxControlProbes is the maximum number of control probes in progress: ten rounds.
	// They have a limit of their own: if they waited behind 64 probes of a lost
	// failure domain, the results of those probes would be inconclusive.
	maxControlProbes = 20
)

// prober probes upstreams that seem silent by connecting to them.
type prober struct {
	requests, controlRequests chan evidence.Probe
	results                   chan evidence.ProbeResult
	// unanswered receives probes in progress that have had no answer for
	// evidence.LateProbeAfter.
	unanswered chan evidence.Probe
	// connectOnce makes one connection attempt; tests replace it.
	connectOnce func(context.Context, evidence.Probe) (evidence.ProbeOutcome, error)
	// wake interrupts the traffic goroutine after a probe was added to results or
	// unanswered.
	wake     func()
	identify Identifier
}

// Identifier asks the upstream at the other end of a connection for its ID: it
// requests path from address. An empty ID means that the answer names none.
type Identifier interface {
	Identify(conn net.Conn, address netip.AddrPort, path string) (id string, err error)
}

func newProber(identify Identifier, wake func()) *prober {
	p := &prober{
		identify: identify,
		requests: make(chan evidence.Probe, maxProbes), controlRequests: make(chan evidence.Probe, maxControlProbes),
		results: make(chan evidence.ProbeResult, maxProbes), unanswered: make(chan evidence.Probe, maxProbes),
		wake: wake,
	}
	p.connectOnce = p.connect
	return p
}

// requestProbe queues a probe without blocking. It returns false when the queue is full.
func (p *prober) requestProbe(probe evidence.Probe) bool {
	queue := p.requests
	if probe.Trigger == evidence.TriggerControl {
		queue = p.controlRequests
	}
	select {
	case queue <- probe:
		return true
	default:
		return false
	}
}

// run makes the queued probes until ctx ends.
func (p *prober) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { p.serveQueue(ctx, p.requests, maxProbes); return nil })
	group.Go(func() error { p.serveQueue(ctx, p.controlRequests, maxControlProbes); return nil })
	return group.Wait()
}

// serveQueue makes the probes of a queue, at most limit at a time, until ctx ends.
func (p *prober) serveQueue(ctx context.Context, queue <-chan evidence.Probe, limit int) {
	slots := make(chan struct{}, limit)
	for {
		select {
		case <-ctx.Done():
			return
		case probe := <-queue:
			start := func() {
				select {
				case slots <- struct{}{}:
				case <-ctx.Done():
					return
				}
				go func() {
					defer func() { <-slots }()
					p.runProbe(ctx, probe)
				}()
			}
			if probe.Delay > 0 {
				time.AfterFunc(probe.Delay, start)
				continue
			}
			start()
		}
	}
}

// runProbe makes one probe and passes on its result. It repeats an attempt that found
// the upstream silent but ended too late, because the instance was paused meanwhile.
func (p *prober) runProbe(ctx context.Context, probe evidence.Probe) {
	late := time.AfterFunc(evidence.LateProbeAfter, func() { p.notifyUnanswered(probe) })
	defer late.Stop()
	result := evidence.ProbeResult{Upstream: probe.Upstream, Trigger: probe.Trigger}
	for range maxProbeAttempts {
		began := time.Now()
		result.Started = began
		result.Outcome, result.Err = p.connectOnce(ctx, probe)
		if result.Outcome != evidence.ProbeSilent || time.Since(began) < probeTimeout+probeGrace+probeLateness {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	result.Identified = probe.HealthPath != "" && (result.Outcome == evidence.ProbeAlive || result.Outcome == evidence.ProbeOther)
	select {
	case p.results <- result:
		p.wake()
	case <-ctx.Done():
	}
}

// notifyUnanswered passes on a probe that has no answer yet. It drops the probe when
// the queue is full, because the result follows in any case.
func (p *prober) notifyUnanswered(probe evidence.Probe) {
	select {
	case p.unanswered <- probe:
		p.wake()
	default:
	}
}

// connect connects to the upstream, asks it for its ID if the probe has a health path,
// and closes the connection. The error is that of the connection attempt.
func (p *prober) connect(ctx context.Context, probe evidence.Probe) (evidence.ProbeOutcome, error) {
	address := probe.Upstream.Address
	dialContext, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(probeTimeout, func() { time.AfterFunc(probeGrace, cancel) })
	defer timeout.Stop()
	conn, err := dial(dialContext, address)
	if err != nil {
		return outcomeOf(err), err
	}
	defer func() { _ = conn.Close() }() // A failed close has no effect on the result.
	if probe.HealthPath == "" || conn.SetDeadline(time.Now().Add(probeTimeout)) != nil {
		return evidence.ProbeAlive, nil
	}
	id, err := p.identify.Identify(conn, address, probe.HealthPath)
	if err == nil && id != "" && id != probe.Upstream.ID {
		return evidence.ProbeOther, nil
	}
	// A busy upstream may not answer in time, but it accepted the connection.
	return evidence.ProbeAlive, nil
}

// dial connects to an address, with further opening packets every dialInterval while there
// is no answer. It returns the first answer, and otherwise the error of the first one.
func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		conn net.Conn
		err  error
	}
	answers := make(chan answer)
	begin := func() {
		dialer := net.Dialer{KeepAlive: -1}
		conn, err := dialer.DialContext(ctx, "tcp4", address.String())
		select {
		case answers <- answer{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close() // Another one was answered first.
			}
		}
	}
	go begin()
	again := time.NewTicker(dialInterval)
	defer again.Stop()
	for dials := 1; ; {
		select {
		case first := <-answers:
			return first.conn, first.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-again.C:
			if dials < maxDials {
				dials++
				go begin()
			}
		}
	}
}

// noAnswer holds the errors of a connection attempt that had no answer from the upstream.
var noAnswer = []error{
	context.Canceled, context.DeadlineExceeded, os.ErrDeadlineExceeded,
	syscall.ETIMEDOUT,
}

// outcomeOf returns what the error of a connection attempt shows about the upstream.
func outcomeOf(err error) evidence.ProbeOutcome {
	switch {
	case err == nil:
		return evidence.ProbeAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return evidence.ProbeRefused
	case errors.Is(err, syscall.ECONNRESET):
		return evidence.ProbeReset
	case slices.ContainsFunc(noAnswer, func(known error) bool { return errors.Is(err, known) }):
		return evidence.ProbeSilent
	}
	return evidence.ProbeNotMade
}
