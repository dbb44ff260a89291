package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/forward"
)

const (
	// probeTimeout is the time after which an upstream counts as silent: 100
	// times the users' longest round trip, and late timers of a slow instance.
	probeTimeout = 300 * time.Millisecond
	// maxProbes bounds the connection attempts under way.
	maxProbes = 16
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
	dialer := net.Dialer{Timeout: probeTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", probe.Upstream.Address.String())
	result.Verdict = verdictOf(err)
	if err == nil {
		_ = conn.Close() // Nothing was sent; a failed close has no effect.
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

func verdictOf(err error) forward.Verdict {
	switch {
	case err == nil:
		return forward.VerdictAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return forward.VerdictRefused
	}
	return forward.VerdictSilent
}
