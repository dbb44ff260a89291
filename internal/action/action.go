// Package action defines the effects that decision packages request and the results
// that they receive. The daemon or a test, whichever runs a decision package, carries
// the effects out.
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

// Forward sends a decided request or a cancellation along the route of its flow. The
// node replaces it by SendUpstream or SendPeer.
type Forward struct{ Packet *pb.Packet }

// SendCaller sends a packet to the address in the packet's Caller field.
type SendCaller struct {
	Packet *pb.Packet
}

// SendPeer sends a message to another instance. Delivery is not guaranteed.
type SendPeer struct {
	// Instance is the name of the receiving instance, Address its peer address.
	Instance string
	Address  netip.AddrPort
	Message  *pb.PeerMessage
}

// Probe reads the health endpoint of an upstream. The result is a ProbeResult.
type Probe struct {
	// Name is the upstream as <team>/<service>/<upstream>.
	Name    string
	Address netip.AddrPort
	Timeout time.Duration
}

// ReadObjects reads from the platform all objects that changed after revision Since.
// The result is ObjectsRead or ReadFailed.
type ReadObjects struct{ Since uint64 }

// WatchObjects starts a watch of the platform's objects from revision Since and stops
// an earlier one. Its messages arrive as ObjectsRead; WatchLost reports its end.
type WatchObjects struct{ Since uint64 }

// StopWatch stops the watch.
type StopWatch struct{}

// ReadInstances reads the platform's list of instances. The result is InstancesRead or
// ReadFailed.
type ReadInstances struct{}

// WriteObject writes an object on the condition that its version is ExpectedVersion and
// the platform's era ExpectedEra. The result is a WriteResult.
type WriteObject struct {
	Key   string
	Value []byte
	// ExpectedVersion is the version that the object must have; 0 for a key that was never
	// written.
	ExpectedVersion uint64
	// ExpectedEra is the era that the platform must be in.
	ExpectedEra uint64
	// ChangeID identifies the write; it is unique.
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

// PlatformEvent is a result or an event that the platform client reports.
type PlatformEvent interface{ isPlatformEvent() }

// ObjectsRead is the result of ReadObjects or a message of the watch.
type ObjectsRead struct {
	Objects []*pb.Object
	// Revision is the store revision up to which Objects is complete.
	Revision uint64
	// Watched is true for a message of the watch.
	Watched bool
}

// ReadFailed reports that ReadObjects or ReadInstances failed.
type ReadFailed struct{ Err error }

// WatchLost reports that the watch ended.
type WatchLost struct{ Err error }

// InstancesRead is the result of ReadInstances.
type InstancesRead struct{ Instances []*pb.InstanceInfo }

// WriteOutcome is the outcome of a conditional write.
type WriteOutcome int

// Outcomes of a conditional write.
const (
	// WriteApplied: the object has the written value.
	WriteApplied WriteOutcome = iota + 1
	// WriteConflict: the object does not have the expected version because another
	// write came first.
	WriteConflict
	// WriteUnknown: the response was lost; the write may have taken effect.
	WriteUnknown
	// WriteFailed: the write did not take effect.
	WriteFailed
)

// WriteResult is the result of WriteObject.
type WriteResult struct {
	Key      string
	ChangeID string
	Outcome  WriteOutcome
	// Object is the stored object after WriteApplied or WriteConflict, nil otherwise.
	Object *pb.Object
}

func (ObjectsRead) isPlatformEvent()   {}
func (ReadFailed) isPlatformEvent()    {}
func (WatchLost) isPlatformEvent()     {}
func (InstancesRead) isPlatformEvent() {}
func (WriteResult) isPlatformEvent()   {}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	// Name is the upstream as <team>/<service>/<upstream>.
	Name string
	// Err is nil when the upstream answered.
	Err error
	// BootID identifies the incarnation of the upstream. Load is its number of running
	// and queued requests, Connections its number of open connections, both as the
	// upstream reports them.
	BootID      uint64
	State       pb.UpstreamHealth_State
	Load        uint32
	Connections uint32
}
