// Package route holds the immutable routing snapshot by which traffic
// goroutines forward packets of settled buckets.
package route

import (
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/placement"
)

// Upstream is what traffic goroutines know of an upstream.
type Upstream struct {
	Address netip.AddrPort
	// Sendable: its failure domain may receive packets.
	Sendable bool
	// Open: it takes new flows without a credit.
	Open bool
}

// Service is one service of a snapshot.
type Service struct {
	Table *placement.Table
	// Upstreams by name within the service.
	Upstreams map[string]Upstream
}

// Snapshot routes packets of settled buckets. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	Services map[netip.AddrPort]Service
	// ValidUntil is when the snapshot is too old to decide by, because the
	// control goroutine or the whole process was paused.
	ValidUntil time.Time
	// Now returns the current time.
	Now func() time.Time
}

// Route implements traffic.Router.
func (s *Snapshot) Route(p *pb.Packet) (netip.AddrPort, bool) {
	if !direct(p.GetKind()) || !s.Now().Before(s.ValidUntil) {
		return netip.AddrPort{}, false
	}
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		return netip.AddrPort{}, false
	}
	return s.Decide(key, p.GetKind() == pb.PacketKind_PACKET_KIND_OPEN)
}

// Decide returns the upstream of a packet of a settled bucket; ok is false
// when the control goroutine has to decide.
func (s *Snapshot) Decide(key flow.Key, open bool) (netip.AddrPort, bool) {
	service, ok := s.Services[key.Service]
	if !ok || service.Table == nil {
		return netip.AddrPort{}, false
	}
	place := service.Table.Lookup(key.Hash())
	if place.InTransition {
		return netip.AddrPort{}, false
	}
	upstream, ok := service.Upstreams[place.Owner]
	if !ok || !upstream.Sendable || open && !upstream.Open {
		return netip.AddrPort{}, false
	}
	return upstream.Address, true
}

func direct(kind pb.PacketKind) bool {
	switch kind {
	case pb.PacketKind_PACKET_KIND_OPEN, pb.PacketKind_PACKET_KIND_DATA, pb.PacketKind_PACKET_KIND_CLOSE:
		return true
	}
	return false
}
