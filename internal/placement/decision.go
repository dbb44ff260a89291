package placement

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
)

// Verdict says how to handle a packet.
type Verdict int

// Verdicts of a tracker.
const (
	// Forward means: send the packet to Decision.Upstream.
	Forward Verdict = iota + 1
	// Redirect means: send the packet to Decision.Instance with Decision.Hops.
	Redirect
	// Hold means: keep the packet until a Release has Decision.Ticket.
	Hold
	// Drop means: discard the packet and count Decision.Reason.
	Drop
)

// DropReason says why a packet was dropped.
type DropReason string

// Reasons for dropping a packet.
const (
	// DropNoUpstream: no upstream may take the new flow, or the bucket is settled and
	// has no owner. In the second case, packets of existing flows are dropped as well.
	DropNoUpstream DropReason = "no_upstream"
	// DropDomainOut: the upstream's failure domain was taken out.
	DropDomainOut DropReason = "domain_out"
	// DropTooManyHops: the packet has to be redirected, but its hop count is MaxHops or
	// more, or no instance is ranked for its bucket.
	DropTooManyHops DropReason = "too_many_hops"
	// DropNotSynchronized: the packet was held to its limit, waiting for
	// synchronization, activation, a later table or, after a pause, the other members.
	DropNotSynchronized DropReason = "not_synchronized"
	// DropTableNotActive: no tracker returns this reason. An OPEN that waits for activation
	// is held, and dropped with DropNotSynchronized at its limit.
	DropTableNotActive DropReason = "not_active"
	// DropDuplicateOpen: the first copy of the OPEN is still held for the
	// acknowledgement of the backup tracker.
	DropDuplicateOpen DropReason = "duplicate_open"
	// DropHeldPacketsFull: Config.MaxHeld packets are held.
	DropHeldPacketsFull DropReason = "hold_full"
	// DropTrackerFull: Config.MaxTrackedFlows flows are recorded.
	DropTrackerFull DropReason = "tracker_full"
)

// Decision is the verdict on one packet.
type Decision struct {
	Verdict Verdict
	// Upstream is the name within the service; set for Forward only.
	Upstream string
	// Instance is the name of the instance to redirect to and Hops the hop count to
	// send with the packet; set for Redirect only.
	Instance string
	Hops     uint32
	// Ticket identifies the held packet; set for Hold only.
	Ticket uint64
	// Reason says why the packet is dropped; set for Drop only.
	Reason DropReason
	// untilActive is true when the packet is held until the activation of the
	// bucket.
	untilActive bool
	// Actions holds messages to send now, whatever the verdict.
	Actions []action.Action
}

// Release is the final decision on a held packet; its verdict is never Hold.
type Release struct {
	Ticket   uint64
	Decision Decision
}

// Packet holds the fields of a caller's packet that a tracker decides by.
type Packet struct {
	Key  flow.Key
	Kind pb.PacketKind
	// Hops is the hop count in the redirect message and Revision the revision of
	// the instance that redirected the packet. Both are zero for a packet that was
	// not redirected.
	Hops     uint32
	Revision uint64
	// Allow reports whether an upstream may take this OPEN; nil allows all. If the
	// owner is refused, the flow may be placed on another upstream and recorded
	// there. Allow is called again when a held packet is retried.
	Allow func(upstream string) bool
}

// UpstreamStatus says which packets an upstream may receive.
type UpstreamStatus int

// Statuses of an upstream.
const (
	// StatusServing means: the upstream takes new flows.
	StatusServing UpstreamStatus = iota + 1
	// StatusLeaving means: the upstream is draining, removed or dead. It keeps its
	// flows. It receives new flows of a bucket only until the bucket has been moved
	// off it and that transition is active.
	StatusLeaving
	// StatusTakenOut means: the upstream's failure domain was taken out. It receives
	// nothing.
	StatusTakenOut
)

// Limits of a tracker.
const (
	// MaxHops is the hop count at which a packet is not redirected again. Without a
	// bound, packets could go in circles while the views of instances differ.
	MaxHops = 3
	// returnHops is the least hop count of a packet that a new tracker sends back
	// to the previous one.
	returnHops = 2
	// ReplicationTimeout is how long an OPEN is held for the acknowledgement of the
	// backup tracker. After that it is forwarded without.
	ReplicationTimeout = 50 * time.Millisecond
	// ActivationLimit is how long a tracker waits for every member to adopt a table
	// that moves buckets off an upstream that is leaving or was taken out. For a
	// serving previous upstream it waits without limit.
	ActivationLimit = 3 * time.Second
	// StaleTableLimit is how long this instance continues to decide after it has learnt
	// of a later revision. It is shorter than ActivationLimit by more than the heartbeat
	// interval of 1 s, so that an instance that is behind stops before the others place
	// new flows without it.
	StaleTableLimit = 1500 * time.Millisecond
	// SuspectAfter is the silence after which members suspect each other.
	SuspectAfter = 3 * time.Second
	// PauseThreshold is the gap between calls after which this instance assumes that it
	// was paused. All methods that take a time count as calls, except HandleBirthAck and
	// FinishedTransitions. Heartbeats go out every second, so other members suspect a
	// paused instance 2 s after the start of the pause at the earliest.
	PauseThreshold = time.Second
	// startupWait is how long an instance without state waits for heartbeats, which
	// go out every second, before it takes its view to be complete.
	startupWait = 2500 * time.Millisecond
	// HoldLimit is how long a packet other than an OPEN is held; callers retransmit.
	// The end of a hold is noticed at the next Tick or HandleSync.
	HoldLimit = 500 * time.Millisecond
	// OpenHoldLimit is how long an OPEN is held. It is below the interval at which
	// callers repeat an OPEN. If the previous upstream was taken out and the bucket is
	// not active, ActivationLimit applies instead.
	OpenHoldLimit = 200 * time.Millisecond
	// BatchDelay is how long records of new flows are collected for one message. It
	// leaves time for the round trip of 3 ms and one repetition within
	// ReplicationTimeout.
	BatchDelay = 35 * time.Millisecond
	// firstBatchRetry is the time after which an unacknowledged batch is first sent
	// again; the interval doubles up to retryInterval.
	firstBatchRetry = 8 * time.Millisecond
	// retryInterval is the time between copies of an unanswered message.
	retryInterval = 200 * time.Millisecond
	// newMemberTimeout is how long an authority waits for the answer of a member that
	// was not in its view before.
	newMemberTimeout = 500 * time.Millisecond
	// closedFlowRetention is how long the record of a closed flow is kept for late
	// packets.
	closedFlowRetention = 5 * time.Second
	// unassignedRetention is how long an instance keeps the records of a bucket for which it
	// is neither tracker nor backup.
	unassignedRetention = 60 * time.Second
	// maintainInterval is the least time between two passes over all buckets. It is
	// a little less than the interval of Tick, so that an additional Tick that
	// sends batches does not repeat that work.
	maintainInterval = 90 * time.Millisecond
	// scanInterval is the time between two searches of a bucket for expired
	// records.
	scanInterval = time.Second
	// defaultSyncPeers is the default of Config.SyncPeers. In a small fleet that is
	// every member.
	defaultSyncPeers = 16
	// maxRecentBackups is the number of earlier backup trackers of a bucket that a
	// new tracker asks as well, whatever their rank.
	maxRecentBackups = 4
	// formerTrackerRanks is the number of first ranks whose possible backup
	// trackers are asked as well.
	formerTrackerRanks = 3
	// defaultMaxTrackedFlows keeps the flow records within 16 MiB.
	defaultMaxTrackedFlows = 1 << 18
	// maxServices is the maximum number of services for which synchronization
	// requests of peers create state; the target size has 300.
	maxServices = 4096
	// defaultMaxHeld is the default of Config.MaxHeld.
	defaultMaxHeld = 1 << 12
	// maxBatchEntries is the maximum number of records in a Birth message. It keeps
	// the message well below the 1,400 bytes of a datagram.
	maxBatchEntries = 120
	// defaultIdleTimeout is the documented default of a service's idle timeout.
	defaultIdleTimeout = 300 * time.Second
)

// Config holds the settings and inputs of a tracker.
type Config struct {
	// Status returns the status of an upstream of a service; nil stands for
	// StatusServing.
	Status func(service, upstream string) UpstreamStatus
	// IdleTimeout returns the time after which a silent flow of a service is over;
	// nil stands for 300 s.
	IdleTimeout func(service string) time.Duration
	// MaxTrackedFlows is the number of flow records at which the tracker places no
	// new flows, stores no replicated records and records no assumed flows; 0 for
	// 262,144. Records merged from synchronization answers may exceed it. MaxHeld is
	// the maximum number of held packets, 0 for 4,096.
	MaxTrackedFlows int
	MaxHeld         int
	// SyncPeers is the number of instances next in rank that a new tracker asks for
	// records, besides possible earlier backup trackers and leaving members; 0 for 16.
	SyncPeers int
}

// Stats counts events of a tracker since its start. NewFlows counts new flows of
// buckets in transition for which an upstream was chosen, Unreplicated those
// released without the acknowledgement of a backup tracker, and Exceptions those
// placed on neither owner nor previous upstream. Unreplicated leaves out flows on
// the previous upstream, which are never replicated. Redirected counts redirected
// packets; SyncRequests and SyncAnswers count the synchronization messages sent.
type Stats struct {
	NewFlows, Unreplicated, Exceptions, Redirected uint64
	SyncRequests, SyncAnswers                      uint64
	// Malformed counts unusable peer messages and the invalid groups and records in
	// them.
	Malformed uint64
}
