package platform

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/action"
)

// Events returns the channel of events. The receiver must keep up: while the
// channel is full, calls wait.
func (c *Client) Events() <-chan action.PlatformEvent { return c.events }

// Do accepts a platform action without waiting. It fails with
// *QueueFullError when too many actions of the kind wait, and with
// *UnsupportedActionError for other actions. A read that is asked for while
// one waits already is answered by that one.
func (c *Client) Do(a action.Action) error {
	switch a := a.(type) {
	case action.ReadObjects:
		return offerRead(c.reads, a, func(waiting action.ReadObjects) action.ReadObjects {
			return action.ReadObjects{Since: min(waiting.Since, a.Since)}
		})
	case action.ReadInstances:
		return offerRead(c.instances, a, func(action.ReadInstances) action.ReadInstances { return a })
	case action.WriteObject:
		return offer(c.writes, a, CallPut)
	case action.WatchObjects:
		return offer(c.watches, watchCommand{start: true, since: a.Since}, CallWatch)
	case action.StopWatch:
		return offer(c.watches, watchCommand{}, CallWatch)
	default:
		return &UnsupportedActionError{Action: a}
	}
}

func offer[T any](queue chan T, item T, call Call) error {
	select {
	case queue <- item:
		return nil
	default:
		return &QueueFullError{Call: call, Limit: cap(queue)}
	}
}

// offerRead merges a read with the one that waits already, if any.
func offerRead[T any](queue chan T, item T, merge func(waiting T) T) error {
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

// Run carries out actions until ctx ends. It always returns an error, that of
// ctx.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(ctx, c.reads, c.readObjects) })
	group.Go(func() error { return serve(ctx, c.instances, c.readInstances) })
	for range c.cfg.Writers {
		group.Go(func() error { return serve(ctx, c.writes, c.writeObject) })
	}
	group.Go(func() error { return c.runWatches(ctx) })
	err := group.Wait()
	c.Close()
	return err
}

func serve[T any](ctx context.Context, queue <-chan T, handle func(context.Context, T)) error {
	for {
		select {
		case item := <-queue:
			handle(ctx, item)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) emit(ctx context.Context, event action.PlatformEvent) {
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
		c.emit(ctx, action.ReadFailed{Err: err})
		return
	}
	c.emit(ctx, action.ObjectsRead{Objects: objects, Revision: revision})
}

func (c *Client) readInstances(ctx context.Context, _ action.ReadInstances) {
	if c.backoffs[CallInstances].wait(ctx) != nil {
		return
	}
	instances, err := c.Instances(ctx)
	if err != nil {
		c.emit(ctx, action.ReadFailed{Err: err})
		return
	}
	c.emit(ctx, action.InstancesRead{Instances: instances})
}

func (c *Client) writeObject(ctx context.Context, a action.WriteObject) {
	result := action.WriteResult{Key: a.Key, ChangeID: a.ChangeID}
	object, err := c.Put(ctx, Write{Key: a.Key, Value: a.Value, Expected: a.Expected, ChangeID: a.ChangeID})
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
	c.emit(ctx, result)
}
