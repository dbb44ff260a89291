package platform

import (
	"context"
	"sync/atomic"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/position"
	"github.com/chivemast/chivemast/internal/transfer"
)

// watchCommand starts a watch, or stops it if start is false.
type watchCommand struct {
	start bool
	since uint64 // revision after which a started watch reports changes
}

// runWatches executes watch commands and keeps at most one watch. A watch that ends
// or receives nothing for WatchSilence is reported as lost and replaced, from the
// last received revision, until it is stopped.
//
// The receiver of events may request a new watch when it is told about the loss. If
// the running watch reports all changes after the requested revision, it is kept,
// because every start of a watch counts as a platform call.
func (c *Client) runWatches(ctx context.Context) error {
	var running *runningWatch
	defer func() { running.stop() }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case command := <-c.watchCommands:
			if command.start && running != nil && running.reachedRevision.Load() <= command.since {
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
	done   chan struct{} // closed when the goroutine of the watch has ended
	// reachedRevision is the last received revision, at first the requested one.
	// The next replacement of the watch continues after it.
	reachedRevision atomic.Uint64
}

// stop ends the watch and waits for its goroutine. It does nothing if w is nil.
func (w *runningWatch) stop() {
	if w == nil {
		return
	}
	w.cancel()
	<-w.done
}

// startWatch starts a goroutine that runs a watch and replaces it, with backoff,
// until it is stopped.
func (c *Client) startWatch(parent context.Context, since uint64) *runningWatch {
	ctx, cancel := context.WithCancel(parent)
	w := &runningWatch{cancel: cancel, done: make(chan struct{})}
	w.reachedRevision.Store(since)
	go func() {
		defer close(w.done)
		for c.backoffs[CallWatch].wait(ctx) == nil {
			err := c.runWatch(ctx, &w.reachedRevision)
			if ctx.Err() != nil {
				return
			}
			c.sendEvent(ctx, action.WatchLost{Err: err})
		}
	}()
	return w
}

// runWatch makes one watch call and raises reachedRevision to the received revisions.
// It returns when the call ends, with *CallError.
func (c *Client) runWatch(parent context.Context, reachedRevision *atomic.Uint64) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if err := c.waitForBudget(ctx, CallWatch); err != nil {
		return c.recordOutcome(parent, CallWatch, c.cfg.Prefix, false, err)
	}
	c.openWatches.Add(parent, 1)
	defer c.openWatches.Add(context.WithoutCancel(parent), -1)
	silenceTimer := time.AfterFunc(c.cfg.WatchSilence, func() { cancel(&SilentWatchError{Silence: c.cfg.WatchSilence}) })
	defer silenceTimer.Stop()
	traced, sent := traceSent(ctx)
	// A large message on a slow link is not silence.
	traced = transfer.WithProgress(traced, func() { silenceTimer.Reset(c.cfg.WatchSilence) })
	err := c.receiveWatch(traced, reachedRevision, silenceTimer)
	if cause := context.Cause(ctx); cause != nil && parent.Err() == nil {
		err = cause
	}
	return c.recordOutcome(parent, CallWatch, c.cfg.Prefix, sent.Load(), err)
}

// receiveWatch sends the messages of a watch as events until the watch ends. It
// stops the silence timer while it waits for the receiver of events.
func (c *Client) receiveWatch(ctx context.Context, reachedRevision *atomic.Uint64, silenceTimer *time.Timer) error {
	since := reachedRevision.Load()
	stream, err := c.api.Watch(ctx, &pb.WatchRequest{Prefix: c.cfg.Prefix, SinceRevision: position.Revision(since), SinceEra: position.Era(since)})
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		message := stream.Msg()
		// The time that the receiver of events needs must not count as silence.
		silenceTimer.Stop()
		c.backoffs[CallWatch].recordResult(false)
		revision, err := toPositions(message.GetEra(), message.GetRevision(), message.GetObjects()...)
		if err != nil {
			return err
		}
		c.sendEvent(ctx, action.ObjectsRead{Objects: message.GetObjects(), Revision: revision, Watched: true})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		reachedRevision.Store(max(reachedRevision.Load(), revision))
		silenceTimer.Reset(c.cfg.WatchSilence)
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return &ClosedWatchError{}
}
