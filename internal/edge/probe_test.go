package edge

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
)

// fixedIdentifier is an Identifier that returns the same ID for each upstream.
type fixedIdentifier string

func (f fixedIdentifier) Identify(net.Conn, netip.AddrPort, string) (string, error) {
	return string(f), nil
}

// Guards against a wrong outcome of a connection attempt: silent instead of refused,
// alive when another upstream uses the address, or dead when the upstream is busy.
func TestProbeOutcomes(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	p := newProber(fixedIdentifier("i-2"), func() {})
	probe := evidence.Probe{Upstream: &catalog.Entry{Upstream: catalog.Upstream{ID: "i-1", Address: address}}}
	require.Equal(t, evidence.ProbeAlive, p.outcome(t, probe))
	probe.HealthPath = "/health"
	require.Equal(t, evidence.ProbeOther, p.outcome(t, probe))
	p.identify = fixedIdentifier("i-1")
	require.Equal(t, evidence.ProbeAlive, p.outcome(t, probe))
	p.identify = fixedIdentifier("")
	require.Equal(t, evidence.ProbeAlive, p.outcome(t, probe), "a busy upstream is alive")
	require.NoError(t, listener.Close())
	require.Equal(t, evidence.ProbeRefused, p.outcome(t, probe))
	require.Equal(t, evidence.ProbeSilent, outcomeOf(context.DeadlineExceeded))
}

// Guards against an unanswered probe that is reported only together with its result:
// the upstream is silent and the attempt is still in progress.
func TestUnansweredProbeIsReportedBeforeItsResult(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := newProber(fixedIdentifier("i-1"), func() {})
	end := make(chan struct{})
	p.connectOnce = func(context.Context, evidence.Probe) (evidence.ProbeOutcome, error) {
		<-end
		return evidence.ProbeSilent, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- p.run(ctx) }()
	require.True(t, p.requestProbe(evidence.Probe{Upstream: &catalog.Entry{Upstream: catalog.Upstream{ID: "i-7"}}}))
	require.Equal(t, "i-7", (<-p.unanswered).Upstream.ID)
	require.Empty(t, p.results)
	close(end)
	require.Equal(t, evidence.ProbeSilent, (<-p.results).Outcome)
	cancel()
	require.NoError(t, <-done)
}

// Guards against control probes that wait behind 64 unanswered probes when a large
// failure domain is lost: the results of those probes would all be inconclusive.
func TestControlProbesHaveTheirOwnLimit(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := newProber(fixedIdentifier(""), func() {})
	end := make(chan struct{})
	p.connectOnce = func(_ context.Context, probe evidence.Probe) (evidence.ProbeOutcome, error) {
		if probe.Trigger == evidence.TriggerControl {
			return evidence.ProbeAlive, nil
		}
		<-end
		return evidence.ProbeSilent, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- p.run(ctx) }()
	entry := &catalog.Entry{}
	for n := range 2 * maxProbes {
		require.Eventually(t, func() bool { return p.requestProbe(evidence.Probe{Upstream: entry}) }, 5*time.Second, time.Millisecond, "probe %d", n)
	}
	require.True(t, p.requestProbe(evidence.Probe{Upstream: entry, Trigger: evidence.TriggerControl}))
	require.Equal(t, evidence.TriggerControl, (<-p.results).Trigger)
	close(end)
	cancel()
	require.NoError(t, <-done)
}

// Guards against results that are lost or that do not wake the reader, against
// a request that blocks the traffic goroutine, and against leaked goroutines.
func TestProberReportsAndStops(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	woken := make(chan struct{}, 1)
	p := newProber(fixedIdentifier("i-1"), func() { woken <- struct{}{} })
	entry := &catalog.Entry{Upstream: catalog.Upstream{Address: netip.MustParseAddrPort(listener.Addr().String())}}
	for range maxProbes {
		require.True(t, p.requestProbe(evidence.Probe{Upstream: entry}))
	}
	require.False(t, p.requestProbe(evidence.Probe{Upstream: entry}))
	for len(p.requests) > 1 {
		<-p.requests
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- p.run(ctx) }()
	require.Equal(t, evidence.ProbeAlive, (<-p.results).Outcome)
	<-woken
	cancel()
	require.NoError(t, <-done)
}

// Guards against an upstream that counts as silent because one opening packet was lost,
// here by a full accept queue: the system repeats it only after the probe has given up.
func TestOneLostPacketDoesNotMakeAProbeSilent(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer func() { require.NoError(t, syscall.Close(fd)) }()
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	queued, err := net.Dial("tcp4", address.String())
	require.NoError(t, err)
	defer func() { require.NoError(t, queued.Close()) }()
	go func() {
		time.Sleep(20 * time.Millisecond)
		accepted, _, err := syscall.Accept(fd)
		if err == nil {
			_ = syscall.Close(accepted)
		}
	}()
	p := newProber(fixedIdentifier(""), func() {})
	require.Equal(t, evidence.ProbeAlive, p.outcome(t, evidence.Probe{Upstream: &catalog.Entry{Upstream: catalog.Upstream{Address: address}}}))
}

func (p *prober) outcome(t *testing.T, probe evidence.Probe) evidence.ProbeOutcome {
	outcome, _ := p.connect(t.Context(), probe) // The error is the cause of the outcome, for the log.
	return outcome
}

// Guards against the reset of all open flows of an upstream that resets further connections,
// for example because it is at its connection limit: that is an answer, and no silence.
func TestResetConnectionIsNoSilence(t *testing.T) {
	outcome := outcomeOf(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)})
	require.NotEqual(t, evidence.ProbeSilent, outcome)
	require.NotEqual(t, evidence.ProbeRefused, outcome)
}

// Guards against resets because this instance could not make a probe, for example at its
// limit of open files: the upstream was not asked.
func TestProbeThatIsNotMadeProvesNothing(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EPERM, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		require.NotEqual(t, evidence.ProbeSilent, outcomeOf(err), err)
	}
	for _, err := range []error{syscall.ETIMEDOUT, context.Canceled} {
		require.Equal(t, evidence.ProbeSilent, outcomeOf(err), err)
	}
}
