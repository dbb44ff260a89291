package node

import pb "github.com/chivemast/chivemast/gen/chivemast/v1"

// Observer receives the events that a node reports. All methods are called on the
// goroutine that runs the node.
type Observer interface {
	// InvalidObject reports a configuration object that cannot be applied, as
	// *InvalidObjectError or *AddressConflictError.
	InvalidObject(err error)
	// Dropped counts a dropped packet. The reason is one of the Drop constants of this
	// package or a placement.DropReason.
	Dropped(reason string)
	// Refused counts a refusal that the node itself sends to a caller. Refusals by the
	// request engine are reported to request.Config.Observer.
	Refused(reason pb.RefusalReason)
}
