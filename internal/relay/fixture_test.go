package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/peerauth"
)

// recorder implements Observer and records the callbacks of one relay.
type recorder struct {
	mu           sync.Mutex
	updates      []catalogsync.Update
	silent       []UpstreamIncarnation
	reports      []uint64
	answering    []Answering
	lost         []UpstreamIncarnation
	flows        []forward.HandoverFlow
	shuttingDown bool
	found        map[string]bool
	loads        map[string]*LoadReport
	past         Past
	rejected     int
	reasons      map[peerauth.Reason]int
}

func (r *recorder) Sent(MessageKind, int) {}

func (r *recorder) Received(MessageKind, int) {}

func (r *recorder) Rejected(_ netip.AddrPort, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected++
	var authErr *peerauth.Error
	if errors.As(err, &authErr) {
		r.reasons[authErr.Reason]++
	}
}

func (r *recorder) MemberChanged(m Member, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found[m.Name] = found
}

// unusedAddress returns an unused port of a random loopback address. On 127.0.0.1, tests
// of other packages could take the port before it is opened, or while an instance
// restarts.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: address})
	require.NoError(t, err)
	defer func() { require.NoError(t, probe.Close()) }()
	return netip.MustParseAddrPort(probe.LocalAddr().String())
}

func startRelay(t *testing.T, name, domain string, seeds ...netip.AddrPort) (*Relay, *recorder) {
	t.Helper()
	address := unusedAddress(t)
	r := &recorder{found: map[string]bool{}, loads: map[string]*LoadReport{}, reasons: map[peerauth.Reason]int{}}
	relay, err := Listen(Config{
		Self: Member{Name: name, FailureDomain: domain, Address: address}, Seeds: seeds,
		OnUpdate: func(u catalogsync.Update) { r.mu.Lock(); r.updates = append(r.updates, u); r.mu.Unlock() },
		OnSilentUpstream: func(_ Member, report uint64, s UpstreamIncarnation) {
			r.mu.Lock()
			r.silent, r.reports = append(r.silent, s), append(r.reports, report)
			r.mu.Unlock()
		},
		OnAnswering:   func(_ Member, a Answering) { r.mu.Lock(); r.answering = append(r.answering, a); r.mu.Unlock() },
		OnLostRequest: func(s UpstreamIncarnation) { r.mu.Lock(); r.lost = append(r.lost, s); r.mu.Unlock() },
		State: func(kind catalog.Kind) (catalogsync.Update, time.Duration, bool) {
			return catalogsync.Update{Kind: kind, Era: 2, Revision: 9, Events: []catalog.Event{catalog.EvacuationsListed{Domains: []string{"x"}, Revision: 9}}},
				2 * time.Second, kind == catalog.KindEvacuations
		},
		OnPast: func(past Past) { r.mu.Lock(); r.past = past; r.mu.Unlock() },
		Past: func(limit int) (past Past) {
			for n := range limit {
				past.Replaced = append(past.Replaced, UpstreamIncarnation{ID: fmt.Sprintf("%s-%0100d", name, n), Born: 7})
			}
			past.EndedEvacuations = []catalog.EndedEvacuation{{FailureDomain: domain, Ago: time.Second}}
			return past
		},
		OnLoad: func(from Member, report LoadReport) {
			r.mu.Lock()
			r.loads[from.FailureDomain] = &report
			r.mu.Unlock()
		},
		Holdings: func() Holdings { return Holdings{Positions: *reported(0, 0, 9)} },
		TakeOverFlows: func(flows []forward.HandoverFlow) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.shuttingDown {
				r.flows = flows
			}
			return !r.shuttingDown
		},
		Observer: r, Keys: []peerauth.Key{{1}},
	})
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- relay.Run(t.Context()) }()
	t.Cleanup(func() { assert.NoError(t, <-done) })
	return relay, r
}

// serve runs the HTTP handler of a relay until the test ends.
func serve(t *testing.T, r *Relay) {
	t.Helper()
	server := &http.Server{Handler: r.Handler(), Addr: r.cfg.Self.Address.String(), ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp4", server.Addr)
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() { require.NoError(t, server.Close()); require.ErrorIs(t, <-served, http.ErrServerClosed) })
}
