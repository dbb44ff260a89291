package telemetry

import (
	"slices"
	"strings"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/request"
)

// DropReason says why a packet was dropped. Each reason of request.DropReason
// has one with the same label; see RequestObserver.
type DropReason int

// Reasons for dropped packets outside of the request engine.
const (
	// DropMalformed: the packet could not be decoded or lacks a field.
	DropMalformed DropReason = iota + 1
	// DropOversized: the packet exceeds MaxDatagram.
	DropOversized
	// DropUnknownService: no service has the address, and a refusal is not
	// possible.
	DropUnknownService
	// DropUnknownFlow: an upstream does not know the flow and the bucket is in
	// transition or the view is stale.
	DropUnknownFlow
	// DropStale: the freshness rule forbids sending to the failure domain.
	DropStale
	// DropNotSynchronized: the tracker is not yet synchronized.
	DropNotSynchronized
	// DropHops: the packet was redirected too often.
	DropHops
	// DropQueueFull: a queue was full.
	DropQueueFull
	// DropNoUpstream: the flow has no upstream.
	DropNoUpstream
	// DropSocket: the operating system did not take the packet.
	DropSocket
	// DropBehind: the sender has a revision that did not arrive in time.
	DropBehind
	// DropUnknownSource: the packet came from no upstream's address.
	DropUnknownSource
	// DropNotAnswerable: the packet was refused and its kind has no refusal.
	DropNotAnswerable
	// DropHoldFull: too many packets wait for the tracker.
	DropHoldFull
	// DropTrackerFull: the bound on exceptions is reached.
	DropTrackerFull
	// DropDuplicateOpen: the first copy of the OPEN still waits.
	DropDuplicateOpen
	// DropNotActive: not every member has adopted the table.
	DropNotActive
	// DropDomainOut: the flow's failure domain was taken out.
	DropDomainOut
	// DropDuplicateAttempt: a decided request was redirected twice.
	DropDuplicateAttempt
	// DropPeerMalformed: a peer message could not be decoded.
	DropPeerMalformed
	// DropPeerQueueFull: a queue of peer messages was full.
	DropPeerQueueFull
	// DropPeerSend: a peer message could not be sent or delivered.
	DropPeerSend
	firstRequestDrop
)

const dropReasons = int(firstRequestDrop) + int(request.DropReasons)

// MessageKind is the kind of a control message.
type MessageKind int

// Kinds of control messages. The first ones are the bodies of a PeerMessage.
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
	messageKinds
)

// Direction is the direction of a message as seen from this instance.
type Direction int

// Directions.
const (
	Received Direction = iota
	Sent
	directions
)

var (
	dropLabels = [...]string{"other", "malformed", "oversized", "unknown_service", "unknown_flow", "stale",
		"not_synchronized", "too_many_hops", "queue_full", "no_upstream", "socket", "revision_behind",
		"unknown_upstream_address", "refused_without_answer", "hold_full", "tracker_full", "duplicate_open",
		"not_active", "domain_out", "duplicate_attempt", "peer_malformed", "peer_queue_full", "peer_send_failed"}
	messageLabels = [messageKinds]string{"other", "heartbeat", "redirect", "birth", "birth_ack",
		"tracker_sync_request", "tracker_sync", "credit_request", "credit_grant", "object_push", "object_pull",
		"slot_handover", "platform", "probe"}
	directionLabels = [directions]string{"received", "sent"}
)

// DropReasonOf returns the drop reason with a label, zero for "other" if there
// is none.
func DropReasonOf(label string) DropReason {
	if i := slices.Index(dropLabels[:], label); i > 0 {
		return DropReason(i)
	}
	return 0
}

// KindOf returns the kind of a peer message.
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
	labels := make([]string, dropReasons)
	copy(labels, dropLabels[:])
	for i := 1; i < int(request.DropReasons); i++ {
		labels[int(firstRequestDrop)+i] = "request_" + request.DropReason(i).String()
	}
	return labels
}

// String returns the kind as a metric label.
func (k MessageKind) String() string { return messageLabels[k] }
