// Package route holds the immutable routing snapshot with which traffic
// goroutines forward packets without asking the control goroutine. It covers
// buckets that have one owner; buckets in transition are left to the control
// goroutine.
package route

import (
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/placement"
)

// Upstream is the part of an upstream's state that traffic goroutines need.
type Upstream struct {
	Address netip.AddrPort
	// Sendable is true while the upstream's failure domain may receive packets.
	Sendable bool
	// Open is true while the upstream accepts new flows without a credit.
	Open bool
}

// Service is one service of a snapshot.
type Service struct {
	// Table maps flow hashes to upstream names. A service without a table is left
	// to the control goroutine.
	Table *placement.Table
	// Upstreams is keyed by the upstream's name within the service.
	Upstreams map[string]Upstream
}

// Snapshot routes packets of buckets that are not in transition. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	// Services is keyed by the service's address.
	Services map[netip.AddrPort]Service
	// ValidUntil is the time from which Route no longer uses the snapshot. It
	// passes when the control goroutine or the whole process was paused.
	ValidUntil time.Time
	// Now returns the current time.
	Now func() time.Time
}

// Route implements traffic.Router. It returns the upstream address of an OPEN,
// DATA or CLOSE packet. It returns false, so that the control goroutine decides,
// for packets of other kinds, from ValidUntil on, when an address of the packet
// cannot be parsed, and whenever LookupUpstream returns false.
func (s *Snapshot) Route(p *pb.Packet) (netip.AddrPort, bool) {
	if !isFlowPacket(p.GetKind()) || !s.Now().Before(s.ValidUntil) {
		return netip.AddrPort{}, false
	}
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		return netip.AddrPort{}, false
	}
	return s.LookupUpstream(key, p.GetKind() == pb.PacketKind_PACKET_KIND_OPEN)
}

// LookupUpstream returns the address of the upstream that owns the flow's bucket. open
// says whether the packet opens the flow. It returns false, so that the control
// goroutine decides, when the service is unknown or has no table, the bucket is
// in transition, the owner is unknown or not sendable, or the packet opens a
// flow and the owner is not open. It does not check ValidUntil.
func (s *Snapshot) LookupUpstream(key flow.Key, open bool) (netip.AddrPort, bool) {
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

// isFlowPacket reports whether the kind is one of those that Route decides.
func isFlowPacket(kind pb.PacketKind) bool {
	switch kind {
	case pb.PacketKind_PACKET_KIND_OPEN, pb.PacketKind_PACKET_KIND_DATA, pb.PacketKind_PACKET_KIND_CLOSE:
		return true
	}
	return false
}
