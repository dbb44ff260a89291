// Package action holds the typed effects that decision packages ask for and
// the typed results that come back. Whoever runs a decision core, the daemon
// or a test, carries them out.
package action

import (
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Action is one effect to carry out.
type Action interface{ isAction() }

// SendUpstream sends a packet to an upstream.
type SendUpstream struct {
	// Name is the upstream as <team>/<service>/<upstream>.
	Name    string
	Address netip.AddrPort
	Packet  *pb.Packet
}

// Forward sends a decided request or a cancellation by the routing of its
// flow. The node turns it into SendUpstream or SendPeer.
type Forward struct{ Packet *pb.Packet }

// SendCaller sends a packet to the caller that the packet names.
type SendCaller struct {
	Packet *pb.Packet
}

// SendPeer sends a message to another instance. Delivery is best effort.
type SendPeer struct {
	Instance string
	Address  netip.AddrPort
	Message  *pb.PeerMessage
}

// Probe asks for the health endpoint of an upstream.
type Probe struct {
	Name    string
	Address netip.AddrPort
	Timeout time.Duration
}

// ReadObjects reads every object changed after Since from the platform.
type ReadObjects struct{ Since uint64 }

// WatchObjects starts or restarts the watch from revision Since; an earlier
// watch is stopped.
type WatchObjects struct{ Since uint64 }

// StopWatch stops the watch.
type StopWatch struct{}

// ReadInstances reads the platform's list of instances.
type ReadInstances struct{}

// WriteObject writes an object conditionally. The result comes back as a
// WriteResult.
type WriteObject struct {
	Key      string
	Value    []byte
	Expected uint64
	ChangeID string
}

func (SendUpstream) isAction()  {}
func (Forward) isAction()       {}
func (SendCaller) isAction()    {}
func (SendPeer) isAction()      {}
func (Probe) isAction()         {}
func (ReadObjects) isAction()   {}
func (WatchObjects) isAction()  {}
func (StopWatch) isAction()     {}
func (ReadInstances) isAction() {}
func (WriteObject) isAction()   {}

// PlatformEvent is something that the platform client reports.
type PlatformEvent interface{ isPlatformEvent() }

// ObjectsRead is the result of ReadObjects, or a message of the watch.
type ObjectsRead struct {
	Objects  []*pb.Object
	Revision uint64
	// Watched is true for a message of the watch.
	Watched bool
}

// ReadFailed says that ReadObjects or ReadInstances failed.
type ReadFailed struct{ Err error }

// WatchLost says that the watch ended.
type WatchLost struct{ Err error }

// InstancesRead is the result of ReadInstances.
type InstancesRead struct{ Instances []*pb.InstanceInfo }

// WriteOutcome tells how a conditional write ended.
type WriteOutcome int

// Outcomes of a conditional write.
const (
	// WriteApplied: the object has the written value.
	WriteApplied WriteOutcome = iota + 1
	// WriteConflict: another write came first.
	WriteConflict
	// WriteUnknown: the answer was lost; the write may have taken effect.
	WriteUnknown
	// WriteFailed: the write did not take effect.
	WriteFailed
)

// WriteResult is the result of WriteObject.
type WriteResult struct {
	Key      string
	ChangeID string
	Outcome  WriteOutcome
	// Object is the stored object after WriteApplied or WriteConflict.
	Object *pb.Object
}

func (ObjectsRead) isPlatformEvent()   {}
func (ReadFailed) isPlatformEvent()    {}
func (WatchLost) isPlatformEvent()     {}
func (InstancesRead) isPlatformEvent() {}
func (WriteResult) isPlatformEvent()   {}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Name string
	// Err is nil when the upstream answered.
	Err         error
	BootID      uint64
	State       pb.UpstreamHealth_State
	Load        uint32
	Connections uint32
}
