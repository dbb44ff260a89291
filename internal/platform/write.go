package platform

import (
	"context"
	"errors"
	"fmt"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/position"
)

// Write is a conditional write of an object.
type Write struct {
	Key string
	// Value is the new value, at most MaxObjectBytes bytes.
	Value []byte
	// ExpectedVersion is the version that the stored object must have, 0 for a key that
	// was never written. A deleted object keeps its version.
	ExpectedVersion uint64
	// ExpectedEra is the era that the platform must be in; nil for any. Without it, a
	// write may meet another object of the expected version after a restoration.
	ExpectedEra *uint64
	// Delete is true to replace the object by a tombstone.
	Delete bool
	// ChangeID identifies the write, so that Put can find out after a lost answer
	// whether it took effect. Required and unique.
	ChangeID string
}

// Put writes an object if it has the expected version, and returns the stored
// object. If the answer is lost, Put reads the object back and compares the change
// id. As long as the object still has the expected version, Put sends the same
// conditional write again. Since versions never decrease, at most one of these
// writes can take effect.
//
// Put fails with *ConflictError if the object has another version, or the platform is in
// another era than the expected one. It fails with
// *UnknownOutcomeError if the write may have taken effect, because WriteTimeout or
// parent ended before the object could be read back, or because later writes have
// replaced it. It fails with *CallError or *ObjectSizeError if the write did not take
// effect for another reason.
func (c *Client) Put(parent context.Context, w Write) (*pb.Object, error) {
	if len(w.Value) > MaxObjectBytes {
		return nil, &ObjectSizeError{Key: w.Key, Size: len(w.Value)}
	}
	ctx, cancel := context.WithTimeout(parent, c.cfg.WriteTimeout)
	defer cancel()
	sent := false
	for {
		object, err := c.putOnce(ctx, w)
		var callErr *CallError
		if !errors.As(err, &callErr) {
			return object, err
		}
		answered := callErr.Outcome == OutcomeRejected || callErr.Outcome == OutcomeConflict
		switch {
		case sent:
		case callErr.Outcome == OutcomeRejected:
			return nil, err
		case callErr.Outcome == OutcomeConflict:
			return c.readConflict(ctx, w)
		}
		sent = sent || (callErr.Sent && !answered)
		if sent {
			if stored, resolved, resolveErr := c.resolveLostAnswer(ctx, w); resolved {
				return stored, resolveErr
			}
		}
		if ctx.Err() != nil || c.backoffs[CallPut].wait(ctx) != nil {
			if sent {
				return nil, &UnknownOutcomeError{Key: w.Key, ChangeID: w.ChangeID, Err: err}
			}
			return nil, err
		}
	}
}

func (c *Client) putOnce(ctx context.Context, w Write) (object *pb.Object, err error) {
	err = c.callOnce(ctx, CallPut, w.Key, func(ctx context.Context) error {
		answer, err := c.api.Put(ctx, &pb.PutRequest{
			Key: w.Key, Value: w.Value, ExpectedVersion: w.ExpectedVersion, ExpectedEra: w.ExpectedEra, Delete: w.Delete, ChangeId: w.ChangeID,
		})
		if err != nil {
			return err
		}
		object = answer.GetObject()
		_, err = toPositions(answer.GetEra(), 0, object)
		return err
	})
	return object, err
}

// readConflict reads the object after the platform answered a write with a
// conflict. It returns the object if it has the change id of the write, because the
// network may have delivered the write twice, so that the second copy conflicted
// with the first. Otherwise it fails with *ConflictError, whose Current is nil if the
// object could not be read.
func (c *Client) readConflict(ctx context.Context, w Write) (*pb.Object, error) {
	current, _, err := c.RetryGet(ctx, w.Key)
	switch {
	case err != nil:
		return nil, &ConflictError{Key: w.Key, ExpectedVersion: w.ExpectedVersion}
	case current.GetChangeId() == w.ChangeID:
		return current, nil
	default:
		return nil, &ConflictError{Key: w.Key, ExpectedVersion: w.ExpectedVersion, Current: current}
	}
}

// resolveLostAnswer reads an object back after a write whose answer was lost.
// resolved is false if the object could not be read or still has the expected
// version in the expected era; the write may then be sent again.
func (c *Client) resolveLostAnswer(ctx context.Context, w Write) (object *pb.Object, resolved bool, err error) {
	current, at, err := c.RetryGet(ctx, w.Key)
	switch {
	case err != nil:
		return nil, false, err
	case current.GetChangeId() == w.ChangeID:
		return current, true, nil
	case w.ExpectedEra != nil && position.Era(at) > *w.ExpectedEra:
		return nil, true, &ConflictError{Key: w.Key, ExpectedVersion: w.ExpectedVersion, Current: current}
	case current.GetVersion() <= w.ExpectedVersion:
		return nil, false, nil
	case current.GetVersion() == w.ExpectedVersion+1:
		return nil, true, &ConflictError{Key: w.Key, ExpectedVersion: w.ExpectedVersion, Current: current}
	default:
		// The version after the expected one was replaced. It may have been that of
		// this write.
		return nil, true, &UnknownOutcomeError{Key: w.Key, ChangeID: w.ChangeID,
			Err: fmt.Errorf("later writes replaced version %d", w.ExpectedVersion+1)}
	}
}
