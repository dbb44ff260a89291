package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/forward"
)

const (
	// probeTimeout is the time after which an upstream counts as silent: 50
	// times the users' longest round trip.
	probeTimeout = 200 * time.Millisecond
	// probeGrace follows the timeout: after a process stood still its timers and
	// the answers that arrived meanwhile are due together, and the answers must
	// win.
	probeGrace = 20 * time.Millisecond
	// probeLateness is how late the timer of a probe may be. A later one shows
	// that the instance itself stood still, and the probe is repeated.
	probeLateness = 50 * time.Millisecond
	// maxProbeAttempts bounds the repetitions.
	maxProbeAttempts = 3
	// maxProbes bounds the connection attempts under way: the upstreams of one
	// failure domain of the target size would take five rounds.
	maxProbes = 64
	// maxControls bounds the control probes under way: ten rounds. They have room
	// of their own, because without them the outcomes of 64 probes of a failure
	// domain that is lost would be inconclusive.
	maxControls = 20
)

// prober attempts connections to upstreams that seem silent.
type prober struct {
	wanted, controls chan forward.Probe
	results          chan forward.ProbeResult
	// unanswered are probes that have had no answer for a while.
	unanswered chan forward.Probe
	// try makes one attempt.
	try func(context.Context, forward.Probe) forward.Verdict
	// wake interrupts the traffic goroutine after a result.
	wake     func()
	identify Identifier
}

// Identifier asks the upstream at the other end of a connection for its id.
type Identifier interface {
	Identify(conn net.Conn, address netip.AddrPort, path string) (id string, err error)
}

func newProber(identify Identifier, wake func()) *prober {
	p := &prober{
		identify: identify,
		wanted:   make(chan forward.Probe, maxProbes), controls: make(chan forward.Probe, maxControls),
		results: make(chan forward.ProbeResult, maxProbes), unanswered: make(chan forward.Probe, maxProbes),
		wake: wake,
	}
	p.try = p.connect
	return p
}

// request starts a probe; false when too many are under way.
func (p *prober) request(probe forward.Probe) bool {
	queue := p.wanted
	if probe.Sign == forward.SignControl {
		queue = p.controls
	}
	select {
	case queue <- probe:
		return true
	default:
		return false
	}
}

func (p *prober) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { p.serve(ctx, p.wanted, maxProbes); return nil })
	group.Go(func() error { p.serve(ctx, p.controls, maxControls); return nil })
	return group.Wait()
}

// serve makes the attempts of a queue, at most limit at a time.
func (p *prober) serve(ctx context.Context, queue <-chan forward.Probe, limit int) {
	slots := make(chan struct{}, limit)
	for {
		select {
		case <-ctx.Done():
			return
		case probe := <-queue:
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-slots }()
				p.attempt(ctx, probe)
			}()
		}
	}
}

func (p *prober) attempt(ctx context.Context, probe forward.Probe) {
	late := time.AfterFunc(forward.UnansweredAfter, func() { p.late(probe) })
	defer late.Stop()
	result := forward.ProbeResult{Upstream: probe.Upstream, Sign: probe.Sign, Started: time.Now()}
	for range maxProbeAttempts {
		began := time.Now()
		result.Verdict = p.try(ctx, probe)
		if result.Verdict != forward.VerdictSilent || time.Since(began) < probeTimeout+probeGrace+probeLateness {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	select {
	case p.results <- result:
		p.wake()
	case <-ctx.Done():
	}
}

// late reports a probe without an answer. The outcome follows in any case, so
// that a full queue may lose it.
func (p *prober) late(probe forward.Probe) {
	select {
	case p.unanswered <- probe:
		p.wake()
	default:
	}
}

// connect attempts a connection and closes it.
func (p *prober) connect(ctx context.Context, probe forward.Probe) forward.Verdict {
	address := probe.Upstream.Address
	dialing, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(probeTimeout, func() { time.AfterFunc(probeGrace, cancel) })
	defer timeout.Stop()
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(dialing, "tcp4", address.String())
	if err != nil {
		return verdictOf(err)
	}
	defer func() { _ = conn.Close() }() // Everything was read; a failed close has no effect.
	if probe.HealthPath == "" || conn.SetDeadline(time.Now().Add(probeTimeout)) != nil {
		return forward.VerdictAlive
	}
	id, err := p.identify.Identify(conn, address, probe.HealthPath)
	if err == nil && id != "" && id != probe.Upstream.ID {
		return forward.VerdictOther
	}
	// An upstream that is busy may not answer in time, but it lives.
	return forward.VerdictAlive
}

func verdictOf(err error) forward.Verdict {
	switch {
	case err == nil:
		return forward.VerdictAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return forward.VerdictRefused
	}
	return forward.VerdictSilent
}
