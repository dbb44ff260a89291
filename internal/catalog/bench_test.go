package catalog

import (
	"fmt"
	"net/netip"
	"testing"
)

// BenchmarkChangeAtTargetSize measures the cost of one changed entry and the
// snapshot after it, at the target size of 3,700 upstreams in 300 services.
func BenchmarkChangeAtTargetSize(b *testing.B) {
	const upstreams, services = 3700, 300
	c := New()
	config := Configuration{Version: 1, Revision: 1}
	for n := range services {
		config.Services = append(config.Services, Service{Name: fmt.Sprintf("s%d", n)})
	}
	c.Apply(start, ConfigurationRead{config})
	c.Apply(start, EvacuationsListed{Revision: 1})
	list := UpstreamsListed{Revision: 5000}
	for n := range upstreams {
		change := listedEntry(fmt.Sprintf("i-%x", n), 1000, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n % 250)}), 80).String(), uint64(n))
		change.Upstream.Service = fmt.Sprintf("s%d", n%services)
		list.Entries = append(list.Entries, change)
	}
	c.Apply(start, list)
	b.ReportAllocs()
	revision := uint64(6000)
	for b.Loop() {
		revision++
		change := list.Entries[revision%upstreams]
		change.Upstream.Draining = !change.Upstream.Draining
		change.Upstream.Revision = revision
		list.Entries[revision%upstreams] = change
		c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{change}, Revision: revision})
		if _, changed := c.Snapshot(start); !changed {
			b.Fatal("no snapshot")
		}
	}
}
