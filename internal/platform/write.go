package platform

import (
	"context"
	"errors"
	"fmt"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Write is a conditional write.
type Write struct {
	Key   string
	Value []byte
	// Expected is the version that the object must have; 0 for a key that was
	// never written. A deleted object keeps its version.
	Expected uint64
	// Delete replaces the object by a tombstone.
	Delete bool
	// ChangeID identifies the write, so that a lost answer can be resolved.
	// Required, unique.
	ChangeID string
}

// Put writes an object conditionally. When the answer is lost, it reads the
// object back and compares the change id. While the object still has the
// expected version, it sends the same conditional write again: versions never
// go back, so that at most one of the copies can take effect.
//
// It fails with *ConflictError, *UnknownOutcomeError, or, when the write did
// not take effect, *CallError or *ObjectSizeError.
func (c *Client) Put(parent context.Context, w Write) (*pb.Object, error) {
	if len(w.Value) > MaxObject {
		return nil, &ObjectSizeError{Key: w.Key, Size: len(w.Value)}
	}
	ctx, cancel := context.WithTimeout(parent, c.cfg.WriteTimeout)
	defer cancel()
	sent := false
	for {
		object, err := c.put(ctx, w)
		var failed *CallError
		if !errors.As(err, &failed) {
			return object, err
		}
		answered := failed.Outcome == OutcomeRejected || failed.Outcome == OutcomeConflict
		switch {
		case sent:
		case failed.Outcome == OutcomeRejected:
			return nil, err
		case failed.Outcome == OutcomeConflict:
			return c.conflict(ctx, w)
		}
		sent = sent || (failed.Sent && !answered)
		if sent {
			if stored, settled, resolveErr := c.resolve(ctx, w); settled {
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

func (c *Client) put(ctx context.Context, w Write) (object *pb.Object, err error) {
	err = c.call(ctx, CallPut, w.Key, func(ctx context.Context) error {
		answer, err := c.api.Put(ctx, &pb.PutRequest{
			Key: w.Key, Value: w.Value, ExpectedVersion: w.Expected, Delete: w.Delete, ChangeId: w.ChangeID,
		})
		object = answer.GetObject()
		return err
	})
	return object, err
}

// conflict reads the object that a write conflicts with; the object is nil in
// the error when it could not be read. The network may have delivered the
// write twice, so that it conflicts with itself.
func (c *Client) conflict(ctx context.Context, w Write) (*pb.Object, error) {
	current, _, err := c.RetryGet(ctx, w.Key)
	switch {
	case err != nil:
		return nil, &ConflictError{Key: w.Key, Expected: w.Expected}
	case current.GetChangeId() == w.ChangeID:
		return current, nil
	default:
		return nil, &ConflictError{Key: w.Key, Expected: w.Expected, Current: current}
	}
}

// resolve reads an object back after a write whose answer was lost. It is
// settled unless the object still has the expected version or cannot be read.
func (c *Client) resolve(ctx context.Context, w Write) (object *pb.Object, settled bool, err error) {
	current, _, err := c.RetryGet(ctx, w.Key)
	switch {
	case err != nil:
		return nil, false, err
	case current.GetVersion() <= w.Expected:
		return nil, false, nil
	case current.GetChangeId() == w.ChangeID:
		return current, true, nil
	case current.GetVersion() == w.Expected+1:
		return nil, true, &ConflictError{Key: w.Key, Expected: w.Expected, Current: current}
	default:
		// The version after the expected one is gone; it may have been ours.
		return nil, true, &UnknownOutcomeError{Key: w.Key, ChangeID: w.ChangeID,
			Err: fmt.Errorf("later writes replaced version %d", w.Expected+1)}
	}
}
