// Package forward decides what happens to each packet of a caller: to which upstream
// it is forwarded, or whether it is reset, dropped or kept waiting, and why.
// Established flows are forwarded by their cookie and a catalog snapshot, without a flow
// record; the snapshot and the results of probes decide on their resets. An Engine keeps
// a bounded number of flow records: they improve its choices, and show which flows to
// reset at once when the probe of an upstream fails.
//
// An upstream is removed, or missing, when the store no longer lists its entry. It is
// gone when it was replaced, or when it is still missing at catalog.Entry.GoneAt.
package forward

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/hedge"
)

// Flow identifies a flow by the addresses of its caller and its service.
type Flow struct {
	Caller, Service netip.AddrPort
}

// Packet holds the fields of a caller's packet on which the decision depends.
type Packet struct {
	Flow Flow
	// Open is true for an opening packet. Copy is the number of the retransmission, 0
	// for the first copy.
	Open bool
	Copy uint32
	// Fin and Reset are true when the caller ends the flow with this packet.
	Fin, Reset bool
	// Seq and Ack are the packet's sequence and acknowledgement numbers.
	Seq, Ack uint32
	// Data is the payload length in bytes.
	Data int
	// Cookie is the cookie that the packet carries; flowcookie.None when it has none.
	Cookie flowcookie.Cookie
}

// Action says what to do with a packet.
type Action int

// Actions.
const (
	// Drop discards the packet without an answer.
	Drop Action = iota
	// Forward sends the packet to Decision.Upstream.
	Forward
	// Reset answers the packet with a reset.
	Reset
	// Wait keeps the packet undecided because the instance lacks information, or because
	// it is a caller's reset with an unknown cookie. It may be decided on again after the
	// next snapshot.
	Wait
)

func (a Action) String() string { return [...]string{"drop", "forward", "reset", "wait"}[a] }

// Reason says why a packet was handled as it was.
type Reason int

// Reasons.
const (
	// ReasonEstablished: the cookie names the upstream.
	ReasonEstablished Reason = iota
	// ReasonEarlierIncarnation: the cookie names an earlier incarnation of the upstream.
	// The packet goes to the latest one, which may have accepted the flow before this
	// instance knew it, and resets it otherwise.
	ReasonEarlierIncarnation
	// ReasonOpened: the first copy of an opening packet was assigned an upstream.
	ReasonOpened
	// ReasonOpenRepeated: a later copy of an opening packet was assigned an upstream.
	ReasonOpenRepeated
	// ReasonNoRoute: the current configuration has no route for the service address.
	ReasonNoRoute
	// ReasonRouteRemoved: a configuration change removed the route of the flow.
	ReasonRouteRemoved
	// ReasonNoUpstream: no upstream of the service may receive a new flow.
	ReasonNoUpstream
	// ReasonColdLimit: the upstreams that remain are cold, and are in another failure
	// domain or at their limit.
	ReasonColdLimit
	// ReasonUpstreamGone: another upstream has taken the place of the flow's upstream,
	// or its entry was removed and no probe shows that it still runs.
	ReasonUpstreamGone
	// ReasonUpstreamFailed: a conclusive probe of the flow's upstream that is no older than the
	// flow failed within evidence.FailureProvenFor, or another upstream answers at its address.
	ReasonUpstreamFailed
	// ReasonUnknownCookie: the cookie identifies no known upstream.
	ReasonUnknownCookie
	// ReasonNoCookie: a packet of an established flow carries no cookie.
	ReasonNoCookie
	// ReasonNotSynchronized: there is no snapshot yet or, for an opening packet, the
	// snapshot is not Ready.
	ReasonNotSynchronized
	// ReasonOtherService: the cookie identifies an upstream of a service that the
	// flow's route has never had. No code returns this reason; only its label is used.
	ReasonOtherService
	// ReasonOverloaded: the flow is refused because its response is expected too late while
	// its service is short of capacity.
	ReasonOverloaded
	// ReasonCallerShare: the flow is refused because its caller has opened more than its
	// share of flows while the service is short of capacity.
	ReasonCallerShare
	// ReasonFlowRecord: the cookie names another upstream, or none that is known, than the
	// one at which the flow was opened by its record; or the packet is a late copy of the
	// opening packet, which goes to that upstream and is dropped when it has ended.
	ReasonFlowRecord
	reasonCount
)

// ReasonLabels holds the label of each reason, indexed by Reason.
var ReasonLabels = [reasonCount]string{
	"established", "earlier_incarnation", "opened", "open_repeated", "no_route", "route_removed", "no_upstream", "cold_limit",
	"upstream_gone", "upstream_silent", "unknown_cookie", "no_cookie", "not_synchronized", "other_service",
	"overloaded", "caller_share", "flow_record",
}

func (r Reason) String() string { return ReasonLabels[r] }

// Choice is the tier of the selected upstream, and why the flow stays in the own failure
// domain or leaves it.
type Choice struct {
	Tier  choice.Tier
	Cause choice.Cause
}

// Decision is the result for one packet.
type Decision struct {
	Action Action
	Reason Reason
	// Upstream is set for Forward, and for Reset when the flow's upstream is known.
	Upstream *catalog.Entry
	// Choice says how the upstream of a new flow was selected; nil unless the packet is an
	// opening packet that is forwarded and not a copy for an open flow.
	Choice *Choice
	// Admission is the decision of admission control; nil unless the packet is the first
	// copy of an opening packet and Config.OverloadControl is set.
	Admission *Admission
	// HandshakeTime is the time from the first copy of the opening packet to this
	// packet, when this is the first packet that follows it. It includes the caller's
	// round trip. It is 0 for other packets and without a flow record.
	HandshakeTime time.Duration
	// HedgeSlot is the number, 1 to MaxHedgeWaits, under which the bytes of an opening
	// packet are to be kept for TakeHedges; 0 when there is no extra attempt.
	HedgeSlot int
	// Hedge is hedge.Won when this packet shows that an extra attempt was answered first,
	// hedge.NotKept when an opening packet could not be kept, and hedge.None otherwise.
	Hedge hedge.Result
	// Grounds is what the reset of an established flow rests on; nil for other decisions and
	// when the flow's upstream is not known.
	Grounds *evidence.Grounds
	// MovedFrom is the upstream to which earlier packets of the flow went, when this instance
	// saw it answer; flowcookie.None when the upstream has not changed.
	MovedFrom flowcookie.Cookie
}
