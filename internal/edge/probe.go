package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/forward"
)

const (
	// probeTimeout is the time after which an upstream counts as silent: 50
	// times the users' longest round trip.
	probeTimeout = 200 * time.Millisecond
	// probeLateness is how late the timer of a probe may be. A later one shows
	// that the instance itself stood still, and the probe is repeated.
	probeLateness = 50 * time.Millisecond
	// maxProbeAttempts bounds the repetitions.
	maxProbeAttempts = 3
	// maxProbes bounds the connection attempts under way: the upstreams of one
	// failure domain of the target size would take five rounds.
	maxProbes = 64
)

// prober attempts connections to upstreams that seem silent.
type prober struct {
	wanted  chan forward.Probe
	results chan forward.ProbeResult
	// wake interrupts the traffic goroutine after a result.
	wake func()
	slot chan struct{}
}

func newProber(wake func()) *prober {
	return &prober{
		wanted: make(chan forward.Probe, maxProbes), results: make(chan forward.ProbeResult, maxProbes),
		wake: wake, slot: make(chan struct{}, maxProbes),
	}
}

// request starts a probe; false when too many are under way.
func (p *prober) request(probe forward.Probe) bool {
	select {
	case p.wanted <- probe:
		return true
	default:
		return false
	}
}

func (p *prober) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case probe := <-p.wanted:
			select {
			case p.slot <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			go func() {
				defer func() { <-p.slot }()
				p.attempt(ctx, probe)
			}()
		}
	}
}

func (p *prober) attempt(ctx context.Context, probe forward.Probe) {
	result := forward.ProbeResult{Upstream: probe.Upstream, Sign: probe.Sign, Started: time.Now()}
	for range maxProbeAttempts {
		began := time.Now()
		result.Verdict = connect(ctx, probe.Upstream.Address)
		if result.Verdict != forward.VerdictSilent || time.Since(began) < probeTimeout+probeLateness {
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

// connect attempts a connection and closes it.
func connect(ctx context.Context, address netip.AddrPort) forward.Verdict {
	dialer := net.Dialer{Timeout: probeTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err == nil {
		_ = conn.Close() // Nothing was sent; a failed close has no effect.
	}
	return verdictOf(err)
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
