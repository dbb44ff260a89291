package telemetry

import (
	"slices"
	"strings"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/request"
)

// DropReason is the reason for which a packet or peer message was dropped. A
// request.DropReason has its own value here, labelled "request_" and its name; see
// RequestDropReason.
type DropReason int

// Drop reasons outside the request engine. Zero stands for any other reason.
const (
	// DropMalformed: the packet could not be decoded or lacks a field.
	DropMalformed DropReason = iota + 1
	// DropOversized: the packet is larger than traffic.MaxDatagram.
	DropOversized
	// DropUnknownService: no service has the address, and the packet cannot be answered
	// with a refusal.
	DropUnknownService
	// DropUnknownFlow: an upstream does not know the flow, and the flow may exist on
	// another upstream because its bucket is in transition or the view is stale.
	DropUnknownFlow
	// DropStale: the last platform confirmation is too old to send to the failure
	// domain, or to refuse an OPEN.
	DropStale
	// DropNotSynchronized: the flow tracker that decides the packet is not synchronized
	// yet, or no instance is known to which the packet can be redirected.
	DropNotSynchronized
	// DropTooManyHops: the packet was redirected too often.
	DropTooManyHops
	// DropQueueFull: a queue of packets was full.
	DropQueueFull
	// DropNoUpstream: the flow has no upstream.
	DropNoUpstream
	// DropSocketError: the operating system did not accept the packet.
	DropSocketError
	// DropRevisionBehind: the sender has applied a configuration revision that did not
	// arrive here in time.
	DropRevisionBehind
	// DropUnknownUpstreamAddress: the source address belongs to no upstream.
	DropUnknownUpstreamAddress
	// DropNoRefusalForKind: the packet was refused, but packets of its kind get no
	// refusal.
	DropNoRefusalForKind
	// DropHeldPacketsFull: too many packets wait for the flow tracker.
	DropHeldPacketsFull
	// DropTrackerFull: the limit of tracked flows is reached.
	DropTrackerFull
	// DropDuplicateOpen: the first copy of the OPEN still waits for a decision.
	DropDuplicateOpen
	// DropTableNotActive: not every member has applied the placement table yet.
	DropTableNotActive
	// DropDomainOut: the failure domain of the flow has been taken out.
	DropDomainOut
	// DropDuplicateAttempt: another copy of a decided request was redirected here
	// before.
	DropDuplicateAttempt
	// DropPeerMalformed: a peer message could not be decoded or lacks a field.
	DropPeerMalformed
	// DropPeerQueueFull: a queue of peer messages was full.
	DropPeerQueueFull
	// DropPeerSendFailed: a peer message could not be sent or delivered.
	DropPeerSendFailed
	// firstRequestDropReason plus a request.DropReason is the value for that reason.
	firstRequestDropReason
)

// dropReasonCount is the number of values of DropReason, zero included.
const dropReasonCount = int(firstRequestDropReason) + int(request.DropReasons)

// MessageKind is the kind of a control message.
type MessageKind int

// Kinds of control messages. Those from MessageHeartbeat to MessageSlotHandover are the
// bodies of a PeerMessage.
const (
	MessageOther MessageKind = iota
	MessageHeartbeat
	MessageRedirect
	MessageBirth
	MessageBirthAck
	MessageTrackerSyncRequest
	MessageTrackerSync
	MessageCreditRequest
	MessageCreditGrant
	MessageObjectPush
	MessageObjectPull
	MessageSlotHandover
	MessagePlatform
	MessageProbe
	messageKindCount
)

// Direction is the direction of a message as seen from this instance.
type Direction int

// Directions of a message.
const (
	Received Direction = iota
	Sent
	directionCount
)

var (
	dropLabels = [...]string{"other", "malformed", "oversized", "unknown_service", "unknown_flow", "stale",
		"not_synchronized", "too_many_hops", "queue_full", "no_upstream", "socket", "revision_behind",
		"unknown_upstream_address", "refused_without_answer", "hold_full", "tracker_full", "duplicate_open",
		"not_active", "domain_out", "duplicate_attempt", "peer_malformed", "peer_queue_full", "peer_send_failed"}
	messageLabels = [messageKindCount]string{"other", "heartbeat", "redirect", "birth", "birth_ack",
		"tracker_sync_request", "tracker_sync", "credit_request", "credit_grant", "object_push", "object_pull",
		"slot_handover", "platform", "probe"}
	directionLabels = [directionCount]string{"received", "sent"}
)

// DropReasonOf returns the drop reason with the given label. It returns zero, which is
// counted under the label "other", for an unknown label and for the labels of the
// request engine.
func DropReasonOf(label string) DropReason {
	if i := slices.Index(dropLabels[:], label); i > 0 {
		return DropReason(i)
	}
	return 0
}

// KindOf returns the kind of a peer message, and MessageOther for an unknown or missing
// body.
func KindOf(message *pb.PeerMessage) MessageKind {
	switch message.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		return MessageHeartbeat
	case *pb.PeerMessage_Redirect:
		return MessageRedirect
	case *pb.PeerMessage_Birth:
		return MessageBirth
	case *pb.PeerMessage_BirthAck:
		return MessageBirthAck
	case *pb.PeerMessage_TrackerSyncRequest:
		return MessageTrackerSyncRequest
	case *pb.PeerMessage_TrackerSync:
		return MessageTrackerSync
	case *pb.PeerMessage_CreditRequest:
		return MessageCreditRequest
	case *pb.PeerMessage_CreditGrant:
		return MessageCreditGrant
	case *pb.PeerMessage_ObjectPush:
		return MessageObjectPush
	case *pb.PeerMessage_ObjectPull:
		return MessageObjectPull
	case *pb.PeerMessage_SlotHandover:
		return MessageSlotHandover
	}
	return MessageOther
}

func refusalLabels() []string {
	labels := make([]string, len(pb.RefusalReason_name))
	for i := range labels {
		labels[i] = strings.ToLower(strings.TrimPrefix(pb.RefusalReason_name[int32(i)], "REFUSAL_REASON_"))
	}
	return labels
}

func retryLabels() []string {
	labels := make([]string, request.RetryReasons)
	labels[0] = "other"
	for i := 1; i < len(labels); i++ {
		labels[i] = request.RetryReason(i).String()
	}
	return labels
}

func allDropLabels() []string {
	labels := make([]string, dropReasonCount)
	copy(labels, dropLabels[:])
	for i := 1; i < int(request.DropReasons); i++ {
		labels[int(firstRequestDropReason)+i] = "request_" + request.DropReason(i).String()
	}
	return labels
}

// String returns the metric label of the kind.
func (k MessageKind) String() string { return messageLabels[k] }
