package route_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/route"
)

// newSnapshot returns a snapshot whose upstreams are spread evenly over the
// services. All of them serve and accept new flows.
func newSnapshot(tb testing.TB, services, upstreams int) *route.Snapshot {
	s := &route.Snapshot{Services: map[netip.AddrPort]route.Service{}, Now: time.Now, ValidUntil: time.Now().Add(time.Hour)}
	for n := range services {
		name := fmt.Sprintf("team-%02d/service-%03d", n/10, n)
		routes := map[string]route.Upstream{}
		var targets []placement.Target
		for u := range upstreams / services {
			up := fmt.Sprintf("u%04d", u)
			targets = append(targets, placement.Target{Upstream: up, Weight: 100, State: placement.TargetServing})
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(n), byte(u)}), 8080)
			routes[up] = route.Upstream{Address: address, Sendable: true, Open: true}
		}
		planned, changed := placement.Plan(nil, targets, placement.PlanOptions{Service: name, ConfigRevision: 1})
		require.True(tb, changed)
		table, err := placement.Compile(planned, 1)
		require.NoError(tb, err)
		s.Services[serviceAddress(n)] = route.Service{Table: table, Upstreams: routes}
	}
	return s
}

func serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 80)
}

func newKeys(services, flows int) []flow.Key {
	keys := make([]flow.Key, flows)
	for n := range keys {
		keys[n] = flow.Key{
			Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 4000),
			Service: serviceAddress(n % services), ID: uint64(n),
		}
	}
	return keys
}

// Guards against memory allocation in LookupUpstream: at the target packet rate, garbage
// collection would cost more than the look-ups.
func TestLookupUpstreamDoesNotAllocate(t *testing.T) {
	s, keys := newSnapshot(t, 30, 370), newKeys(30, 64)
	n := 0
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_, ok := s.LookupUpstream(keys[n%len(keys)], false)
		if !ok {
			t.Error("LookupUpstream returned false for a bucket that is not in transition")
		}
		n++
	}))
}

// BenchmarkLookupUpstream calls LookupUpstream for 65,536 flows, whose buckets follow in random
// order.
func BenchmarkLookupUpstream(b *testing.B) {
	for _, size := range []struct{ services, upstreams int }{{2, 18}, {300, 3700}} {
		b.Run(fmt.Sprintf("services=%d/upstreams=%d", size.services, size.upstreams), func(b *testing.B) {
			s, keys := newSnapshot(b, size.services, size.upstreams), newKeys(size.services, 1<<16)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if _, ok := s.LookupUpstream(keys[n&(1<<16-1)], n&1 == 0); !ok {
					b.Fatal("LookupUpstream returned false for a bucket that is not in transition")
				}
				n++
			}
		})
	}
}
