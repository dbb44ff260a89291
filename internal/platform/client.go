package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/time/rate"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/position"
	"github.com/chivemast/chivemast/internal/transfer"
)

// MaxMessageBytes is the largest accepted answer of the platform, in bytes. It holds 300
// services with tables of at most 16 KB each and leaves room for growth.
const MaxMessageBytes = 16 << 20

// bodyTimeout bounds the time in which the answer to a read arrives after its header. With the
// default CallTimeout, it ends when the decision logic counts the read as failed.
const bodyTimeout = 8 * time.Second

// Client is a client of the platform's object API. All revisions that it returns, also
// those of objects, and that it is passed are positions: they include the era. The synchronous methods may be
// called at any time. Actions passed to Enqueue are executed, and events are sent, only
// while Run is running.
type Client struct {
	cfg         Config
	api         chivemastv1connect.ObjectServiceClient
	transport   *http.Transport
	limiters    map[Call]*rate.Limiter // budget of each kind of call
	backoffs    map[Call]*backoff      // backoff of each kind of call
	callCounter metric.Int64Counter
	openWatches metric.Int64UpDownCounter

	// Queues between the receiver of events and Run.
	events        chan action.PlatformEvent
	readQueue     chan action.ReadObjects   // at most one; see enqueueRead
	instanceQueue chan action.ReadInstances // at most one; see enqueueRead
	writeQueue    chan action.WriteObject
	watchCommands chan watchCommand
}

// New returns a client and makes no platform call. It fails with *CallError if a
// metric cannot be created.
func New(cfg Config) (*Client, error) {
	cfg.setDefaults()
	callCounter, err := cfg.Meter.Int64Counter("chivemast.platform.calls",
		metric.WithDescription("Platform calls by kind and outcome. Calls with outcome budget were not made."))
	if err != nil {
		return nil, &CallError{Outcome: OutcomeRejected, Err: err}
	}
	openWatches, err := cfg.Meter.Int64UpDownCounter("chivemast.platform.watches",
		metric.WithDescription("Open watches. chivemast.platform.calls counts a watch when it ends."))
	if err != nil {
		return nil, &CallError{Outcome: OutcomeRejected, Err: err}
	}
	c := &Client{
		cfg:           cfg,
		openWatches:   openWatches,
		transport:     newTransport(),
		limiters:      map[Call]*rate.Limiter{},
		backoffs:      map[Call]*backoff{},
		callCounter:   callCounter,
		events:        make(chan action.PlatformEvent, cfg.Queue),
		readQueue:     make(chan action.ReadObjects, 1),
		instanceQueue: make(chan action.ReadInstances, 1),
		writeQueue:    make(chan action.WriteObject, cfg.Queue),
		watchCommands: make(chan watchCommand, 16),
	}
	for call, budget := range defaultBudgets {
		if configured, ok := cfg.Budgets[call]; ok {
			budget = configured
		}
		c.limiters[call] = rate.NewLimiter(budget.PerSecond, budget.Burst)
		c.backoffs[call] = &backoff{base: cfg.BackoffBase, limit: cfg.BackoffMax}
	}
	c.api = chivemastv1connect.NewObjectServiceClient(&http.Client{Transport: transfer.Transport{Base: c.transport}}, cfg.URL,
		connect.WithReadMaxBytes(MaxMessageBytes))
	return c, nil
}

// newTransport returns a transport for HTTP/1.1. With HTTP/1.1, a call that times
// out closes its connection, so that a connection without answers is not reused.
// With HTTP/2, all calls would share that connection.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		TLSHandshakeTimeout: time.Second,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// callOnce makes one call within the budget of its kind and CallTimeout, and records
// its outcome. The answer to a read may take up to bodyTimeout while bytes arrive. It fails
// with *CallError.
func (c *Client) callOnce(parent context.Context, kind Call, key string, request func(context.Context) error) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(parent, c.cfg.CallTimeout)
	defer cancel()
	if err := c.waitForBudget(ctx, kind); err != nil {
		return c.recordOutcome(parent, kind, key, false, err)
	}
	if kind != CallPut {
		// The context of a read has no deadline, so that none is sent to the platform.
		limited, end := transfer.WithLimits(parent, transfer.Limits{
			Header: c.cfg.CallTimeout - time.Since(began), Stall: c.cfg.CallTimeout, Total: bodyTimeout,
		})
		defer end()
		ctx = limited
	}
	traced, sent := traceSent(ctx)
	err := request(traced)
	var timeout *transfer.TimeoutError
	if err != nil && errors.As(context.Cause(ctx), &timeout) {
		err = connect.NewError(connect.CodeDeadlineExceeded, timeout)
	}
	return c.recordOutcome(parent, kind, key, sent.Load(), err)
}

// traceSent returns a context for one call, and a flag that becomes true when the
// call gets a connection. Without a connection nothing was sent, so a failed write
// did not take effect.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), sent
}

// waitForBudget waits until the budget of a kind allows a call. It fails with
// context.DeadlineExceeded if the deadline of ctx has passed, which the limiter does
// not distinguish from a used-up budget, and with *BudgetError otherwise.
func (c *Client) waitForBudget(ctx context.Context, kind Call) error {
	err := c.limiters[kind].Wait(ctx)
	if err == nil {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return &BudgetError{Err: err}
}

// recordOutcome counts a finished call, records it for the backoff and returns its
// error as *CallError, nil if the call succeeded. A success, a conflict or a rejection
// resets the backoff, a cancelled call leaves it unchanged, and any other outcome
// counts as a failure.
func (c *Client) recordOutcome(parent context.Context, kind Call, key string, sent bool, err error) error {
	outcome := classify(parent, sent, err)
	c.callCounter.Add(context.WithoutCancel(parent), 1, metric.WithAttributes(
		attribute.String("kind", string(kind)), attribute.String("outcome", string(outcome))))
	switch outcome {
	case OutcomeOK, OutcomeConflict, OutcomeRejected:
		c.backoffs[kind].recordResult(false)
	case OutcomeCancelled:
	default:
		c.backoffs[kind].recordResult(true)
	}
	if err == nil {
		return nil
	}
	return &CallError{Call: kind, Key: key, Outcome: outcome, Sent: sent, Err: err}
}

// toPositions replaces the revisions of the objects of an answer by positions, which
// include the era of the answer, and returns the position of revision. It fails with
// *position.RangeError.
func toPositions(era, revision uint64, objects ...*pb.Object) (uint64, error) {
	for _, object := range objects {
		if object == nil {
			continue
		}
		at, err := position.Of(era, object.GetRevision())
		if err != nil {
			return 0, err
		}
		object.Revision = at
	}
	return position.Of(era, revision)
}

// Get reads one object, nil if the key was never written, and the revision of the
// whole store. It fails with *CallError.
func (c *Client) Get(ctx context.Context, key string) (object *pb.Object, revision uint64, err error) {
	err = c.callOnce(ctx, CallGet, key, func(ctx context.Context) error {
		answer, err := c.api.Get(ctx, &pb.GetRequest{Key: key})
		if err != nil {
			return err
		}
		object = answer.GetObject()
		revision, err = toPositions(answer.GetEra(), answer.GetRevision(), object)
		return err
	})
	return object, revision, err
}

// List reads the objects whose keys have a prefix and that changed after revision
// since, including tombstones of deleted objects, and the revision of the whole
// store. It fails with *CallError.
func (c *Client) List(ctx context.Context, prefix string, since uint64) (objects []*pb.Object, revision uint64, err error) {
	err = c.callOnce(ctx, CallList, prefix, func(ctx context.Context) error {
		answer, err := c.api.List(ctx, &pb.ListRequest{Prefix: prefix, SinceRevision: position.Revision(since), SinceEra: position.Era(since)})
		if err != nil {
			return err
		}
		objects = answer.GetObjects()
		revision, err = toPositions(answer.GetEra(), answer.GetRevision(), objects...)
		return err
	})
	return objects, revision, err
}

// Instances reads the platform's list of instances, which lags behind their actual
// state. It fails with *CallError.
func (c *Client) Instances(ctx context.Context) (instances []*pb.InstanceInfo, err error) {
	err = c.callOnce(ctx, CallInstances, "", func(ctx context.Context) error {
		answer, err := c.api.ListInstances(ctx, &pb.ListInstancesRequest{})
		instances = answer.GetInstances()
		return err
	})
	return instances, err
}

// retryRead repeats a read with backoff until it succeeds, the platform rejects it,
// or ctx ends. It returns the error of the last attempt.
func (c *Client) retryRead(ctx context.Context, kind Call, read func() error) error {
	for {
		err := read()
		var callErr *CallError
		if err == nil || (errors.As(err, &callErr) && callErr.Outcome == OutcomeRejected) || ctx.Err() != nil {
			return err
		}
		if c.backoffs[kind].wait(ctx) != nil {
			return err
		}
	}
}

// RetryInstances calls Instances with backoff until it succeeds, the platform rejects
// the call, or ctx ends. It fails with the *CallError of the last attempt.
func (c *Client) RetryInstances(ctx context.Context) (instances []*pb.InstanceInfo, err error) {
	err = c.retryRead(ctx, CallInstances, func() (err error) {
		instances, err = c.Instances(ctx)
		return err
	})
	return instances, err
}

// RetryGet calls Get with backoff until it succeeds, the platform rejects the call, or
// ctx ends. It fails with the *CallError of the last attempt.
func (c *Client) RetryGet(ctx context.Context, key string) (object *pb.Object, revision uint64, err error) {
	err = c.retryRead(ctx, CallGet, func() (err error) {
		object, revision, err = c.Get(ctx, key)
		return err
	})
	return object, revision, err
}

// RetryList calls List with backoff until it succeeds, the platform rejects the call,
// or ctx ends. It fails with the *CallError of the last attempt.
func (c *Client) RetryList(ctx context.Context, prefix string, since uint64) (objects []*pb.Object, revision uint64, err error) {
	err = c.retryRead(ctx, CallList, func() (err error) {
		objects, revision, err = c.List(ctx, prefix, since)
		return err
	})
	return objects, revision, err
}
