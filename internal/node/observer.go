package node

import pb "github.com/chivemast/chivemast/gen/chivemast/v1"

// Observer is told what a node does. Methods are called on the control
// goroutine.
type Observer interface {
	// InvalidObject reports an object that cannot be put in force.
	InvalidObject(err error)
	// Dropped counts a packet that was dropped, by reason.
	Dropped(reason string)
	// Refused counts a refusal sent to a caller by the node itself; those of
	// the request engine are counted by its own observer.
	Refused(reason pb.RefusalReason)
}
