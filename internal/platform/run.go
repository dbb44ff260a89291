package platform

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/action"
)

// Events returns the channel of events. While the channel is full, calls wait until
// the receiver has taken an event.
func (c *Client) Events() <-chan action.PlatformEvent { return c.events }

// Enqueue queues a platform action for Run and does not block. It fails with
// *QueueFullError if too many writes or watch commands are waiting, and with
// *UnsupportedActionError if the action is not a platform action. A read is merged
// with a waiting read of the same kind, and one event answers both.
func (c *Client) Enqueue(a action.Action) error {
	switch a := a.(type) {
	case action.ReadObjects:
		return enqueueRead(c.readQueue, a, func(waiting action.ReadObjects) action.ReadObjects {
			return action.ReadObjects{Since: min(waiting.Since, a.Since)}
		})
	case action.ReadInstances:
		return enqueueRead(c.instanceQueue, a, func(action.ReadInstances) action.ReadInstances { return a })
	case action.WriteObject:
		return enqueue(c.writeQueue, a, CallPut)
	case action.WatchObjects:
		return enqueue(c.watchCommands, watchCommand{start: true, since: a.Since}, CallWatch)
	case action.StopWatch:
		return enqueue(c.watchCommands, watchCommand{}, CallWatch)
	default:
		return &UnsupportedActionError{Action: a}
	}
}

// enqueue adds an item to a queue, or fails with *QueueFullError if it is full.
func enqueue[T any](queue chan T, item T, call Call) error {
	select {
	case queue <- item:
		return nil
	default:
		return &QueueFullError{Call: call, Limit: cap(queue)}
	}
}

// enqueueRead adds a read to a queue of one, merged with the waiting read, if any.
func enqueueRead[T any](queue chan T, item T, merge func(waiting T) T) error {
	for {
		select {
		case queue <- item:
			return nil
		default:
		}
		select {
		case waiting := <-queue:
			item = merge(waiting)
		default:
		}
	}
}

// Run executes queued actions until ctx ends, and then closes idle connections. It
// always returns the error of ctx.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveQueue(ctx, c.readQueue, c.readObjects) })
	group.Go(func() error { return serveQueue(ctx, c.instanceQueue, c.readInstances) })
	for range c.cfg.Writers {
		group.Go(func() error { return serveQueue(ctx, c.writeQueue, c.writeObject) })
	}
	group.Go(func() error { return c.runWatches(ctx) })
	err := group.Wait()
	c.Close()
	return err
}

// serveQueue handles the items of a queue one by one until ctx ends.
func serveQueue[T any](ctx context.Context, queue <-chan T, handle func(context.Context, T)) error {
	for {
		select {
		case item := <-queue:
			handle(ctx, item)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendEvent sends an event to the receiver of Events. It blocks while the channel is
// full and gives up when ctx ends.
func (c *Client) sendEvent(ctx context.Context, event action.PlatformEvent) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

func (c *Client) readObjects(ctx context.Context, a action.ReadObjects) {
	if c.backoffs[CallList].wait(ctx) != nil {
		return
	}
	objects, revision, err := c.List(ctx, c.cfg.Prefix, a.Since)
	if err != nil {
		c.sendEvent(ctx, action.ReadFailed{Err: err})
		return
	}
	c.sendEvent(ctx, action.ObjectsRead{Objects: objects, Revision: revision})
}

func (c *Client) readInstances(ctx context.Context, _ action.ReadInstances) {
	if c.backoffs[CallInstances].wait(ctx) != nil {
		return
	}
	instances, err := c.Instances(ctx)
	if err != nil {
		c.sendEvent(ctx, action.ReadFailed{Err: err})
		return
	}
	c.sendEvent(ctx, action.InstancesRead{Instances: instances})
}

func (c *Client) writeObject(ctx context.Context, a action.WriteObject) {
	result := action.WriteResult{Key: a.Key, ChangeID: a.ChangeID}
	object, err := c.Put(ctx, Write{Key: a.Key, Value: a.Value, ExpectedVersion: a.ExpectedVersion, ExpectedEra: &a.ExpectedEra, ChangeID: a.ChangeID})
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		result.Outcome, result.Object = action.WriteApplied, object
	case errors.As(err, &conflict) && conflict.Current != nil:
		result.Outcome, result.Object = action.WriteConflict, conflict.Current
	case errors.As(err, &unknown):
		result.Outcome = action.WriteUnknown
	default:
		result.Outcome = action.WriteFailed
	}
	c.sendEvent(ctx, result)
}
