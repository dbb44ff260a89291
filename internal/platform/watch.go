package platform

import (
	"context"
	"sync/atomic"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// watchCommand starts a watch or, with start false, stops it.
type watchCommand struct {
	start bool
	since uint64
}

// runWatches keeps at most one watch. A watch that ends or falls silent is
// reported as lost and replaced, from the last revision received, until it is
// stopped.
//
// A receiver may ask for a new watch when it hears of the loss. As long as the
// running watch still covers everything after the revision asked for, it is
// kept, because every start of a watch counts as a platform call.
func (c *Client) runWatches(ctx context.Context) error {
	var running *runningWatch
	defer func() { running.stop() }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case command := <-c.watches:
			if command.start && running != nil && running.reached.Load() <= command.since {
				continue
			}
			running.stop()
			running = nil
			if command.start {
				running = c.startWatch(ctx, command.since)
			}
		}
	}
}

// runningWatch is a watch together with its replacements.
type runningWatch struct {
	cancel context.CancelFunc
	done   chan struct{}
	// reached is the revision from which the watch or its next replacement
	// continues.
	reached atomic.Uint64
}

// stop ends the watch and waits for its goroutine.
func (w *runningWatch) stop() {
	if w == nil {
		return
	}
	w.cancel()
	<-w.done
}

func (c *Client) startWatch(parent context.Context, since uint64) *runningWatch {
	ctx, cancel := context.WithCancel(parent)
	w := &runningWatch{cancel: cancel, done: make(chan struct{})}
	w.reached.Store(since)
	go func() {
		defer close(w.done)
		for c.backoffs[CallWatch].wait(ctx) == nil {
			err := c.watch(ctx, &w.reached)
			if ctx.Err() != nil {
				return
			}
			c.emit(ctx, action.WatchLost{Err: err})
		}
	}()
	return w
}

// watch runs one watch call and advances reached.
func (c *Client) watch(parent context.Context, reached *atomic.Uint64) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if err := c.admit(ctx, CallWatch); err != nil {
		return c.finish(parent, CallWatch, c.cfg.Prefix, false, err)
	}
	c.watching.Add(parent, 1)
	defer c.watching.Add(context.WithoutCancel(parent), -1)
	silence := time.AfterFunc(c.cfg.WatchSilence, func() { cancel(&SilentWatchError{Silence: c.cfg.WatchSilence}) })
	defer silence.Stop()
	traced, sent := traceSent(ctx)
	err := c.receive(traced, reached, silence)
	if cause := context.Cause(ctx); cause != nil && parent.Err() == nil {
		err = cause
	}
	return c.finish(parent, CallWatch, c.cfg.Prefix, sent.Load(), err)
}

func (c *Client) receive(ctx context.Context, reached *atomic.Uint64, silence *time.Timer) error {
	stream, err := c.api.Watch(ctx, &pb.WatchRequest{Prefix: c.cfg.Prefix, SinceRevision: reached.Load()})
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		message := stream.Msg()
		// The time that the receiver of events needs is no silence.
		silence.Stop()
		c.backoffs[CallWatch].record(false)
		c.emit(ctx, action.ObjectsRead{Objects: message.GetObjects(), Revision: message.GetRevision(), Watched: true})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		reached.Store(max(reached.Load(), message.GetRevision()))
		silence.Reset(c.cfg.WatchSilence)
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return &ClosedWatchError{}
}
