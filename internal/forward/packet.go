// Package forward decides what happens to each packet of a caller: which
// upstream gets it, or whether it is reset or dropped, and why. Established
// flows are forwarded from the packet and a catalog snapshot alone; what an
// Engine remembers of flows is bounded and only improves the choices.
package forward

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Flow identifies a flow.
type Flow struct {
	Caller, Service netip.AddrPort
}

// Packet is what the decisions need of a packet from a caller.
type Packet struct {
	Flow Flow
	// Open is set for an opening packet; Copy counts its retransmissions.
	Open bool
	Copy uint32
	// Fin and Reset end the flow from the caller's side.
	Fin, Reset bool
	// Seq and Ack are the sequence numbers of the packet.
	Seq, Ack uint32
	// Data is the number of payload bytes.
	Data int
	// Cookie is what the system last wrote into the flow's packets.
	Cookie flowcookie.Cookie
}

// Action is what to do with a packet.
type Action int

// Actions.
const (
	Drop Action = iota
	Forward
	Reset
	// Wait: the instance does not know enough yet; the packet may be decided
	// again after the next snapshot.
	Wait
)

func (a Action) String() string { return [...]string{"drop", "forward", "reset", "wait"}[a] }

// Reason says why a packet was handled as it was.
type Reason int

// Reasons.
const (
	// ReasonEstablished: the cookie names the upstream.
	ReasonEstablished Reason = iota
	// ReasonOpened: a new flow was assigned an upstream.
	ReasonOpened
	// ReasonOpenRepeated: a copy of an opening packet went to another upstream.
	ReasonOpenRepeated
	// ReasonNoRoute: the configuration in force has no such service address.
	ReasonNoRoute
	// ReasonRouteRemoved: a configuration change removed the flow's route.
	ReasonRouteRemoved
	// ReasonNoUpstream: no upstream of the service may get a new flow.
	ReasonNoUpstream
	// ReasonColdLimit: the only upstreams are cold and at their limit.
	ReasonColdLimit
	// ReasonUpstreamGone: the flow's upstream has ended.
	ReasonUpstreamGone
	// ReasonUpstreamSilent: the flow's upstream answers neither its flows nor a
	// probe.
	ReasonUpstreamSilent
	// ReasonUnknownCookie: the cookie names no upstream that is known.
	ReasonUnknownCookie
	// ReasonNoCookie: a packet of an established flow carries no cookie.
	ReasonNoCookie
	// ReasonNotSynchronized: the instance has not read the configuration and
	// the upstreams yet.
	ReasonNotSynchronized
	// ReasonOtherService: the cookie names an upstream of a service that the
	// flow's route has never had.
	ReasonOtherService
	reasons
)

// Reasons are the labels of all reasons, by value.
var Reasons = [reasons]string{
	"established", "opened", "open_repeated", "no_route", "route_removed", "no_upstream", "cold_limit",
	"upstream_gone", "upstream_silent", "unknown_cookie", "no_cookie", "not_synchronized", "other_service",
}

func (r Reason) String() string { return Reasons[r] }

// Decision is the outcome for one packet.
type Decision struct {
	Action Action
	Reason Reason
	// Upstream is set for Forward, and for Reset when it is known.
	Upstream *catalog.Entry
	// Detail explains a choice, for the log: the tier of the chosen upstream.
	Detail string
	// Answer is the time from the opening packet to this one, the first that
	// follows it; 0 otherwise.
	Answer time.Duration
}
