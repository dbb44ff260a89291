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
)

// MaxMessage bounds an answer of the platform: 300 services with tables of at
// most 16 KB each, with room for growth.
const MaxMessage = 16 << 20

// Client is a client of the object API. The synchronous methods may be called
// at any time; Do and Events need Run.
type Client struct {
	cfg       Config
	api       chivemastv1connect.ObjectServiceClient
	transport *http.Transport
	limiters  map[Call]*rate.Limiter
	backoffs  map[Call]*backoff
	calls     metric.Int64Counter
	watching  metric.Int64UpDownCounter

	events    chan action.PlatformEvent
	reads     chan action.ReadObjects
	instances chan action.ReadInstances
	writes    chan action.WriteObject
	watches   chan watchCommand
}

// New returns a client. It makes no call.
func New(cfg Config) (*Client, error) {
	cfg.setDefaults()
	calls, err := cfg.Meter.Int64Counter("chivemast.platform.calls",
		metric.WithDescription("Platform calls by kind and outcome; calls with outcome budget were not made."))
	if err != nil {
		return nil, &CallError{Outcome: OutcomeRejected, Err: err}
	}
	watching, err := cfg.Meter.Int64UpDownCounter("chivemast.platform.watches",
		metric.WithDescription("Open watches. chivemast.platform.calls counts a watch when it ends."))
	if err != nil {
		return nil, &CallError{Outcome: OutcomeRejected, Err: err}
	}
	c := &Client{
		cfg:       cfg,
		watching:  watching,
		transport: newTransport(),
		limiters:  map[Call]*rate.Limiter{},
		backoffs:  map[Call]*backoff{},
		calls:     calls,
		events:    make(chan action.PlatformEvent, cfg.Queue),
		reads:     make(chan action.ReadObjects, 1),
		instances: make(chan action.ReadInstances, 1),
		writes:    make(chan action.WriteObject, cfg.Queue),
		watches:   make(chan watchCommand, 16),
	}
	for call, budget := range defaultBudgets {
		if own, ok := cfg.Budgets[call]; ok {
			budget = own
		}
		c.limiters[call] = rate.NewLimiter(budget.PerSecond, budget.Burst)
		c.backoffs[call] = &backoff{base: cfg.BackoffBase, limit: cfg.BackoffMax}
	}
	c.api = chivemastv1connect.NewObjectServiceClient(&http.Client{Transport: c.transport}, cfg.URL,
		connect.WithReadMaxBytes(MaxMessage))
	return c, nil
}

// newTransport uses HTTP/1.1: a call that times out then closes its
// connection, so that a connection that went silent is not used again. With
// HTTP/2 all calls would share it.
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

// call makes one call of a kind within its budget and the call timeout, and
// counts it. Failures are *CallError.
func (c *Client) call(parent context.Context, kind Call, key string, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(parent, c.cfg.CallTimeout)
	defer cancel()
	ctx, sent := traceSent(ctx)
	err := c.admit(ctx, kind)
	if err == nil {
		err = do(ctx)
	}
	return c.finish(parent, kind, key, sent.Load(), err)
}

// traceSent tells whether the call of a context got a connection. Without
// one, nothing was sent, so that a failed write did not take effect.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), sent
}

// admit waits for the budget of a kind. A deadline that has passed is not the
// budget's fault, although the limiter reports it in the same way.
func (c *Client) admit(ctx context.Context, kind Call) error {
	err := c.limiters[kind].Wait(ctx)
	if err == nil {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return &BudgetError{Err: err}
}

// finish counts a call, records it for the backoff and types its error.
func (c *Client) finish(parent context.Context, kind Call, key string, sent bool, err error) error {
	outcome := classify(parent, sent, err)
	c.calls.Add(context.WithoutCancel(parent), 1, metric.WithAttributes(
		attribute.String("kind", string(kind)), attribute.String("outcome", string(outcome))))
	switch outcome {
	case OutcomeOK, OutcomeConflict, OutcomeRejected:
		c.backoffs[kind].record(false)
	case OutcomeCancelled:
	default:
		c.backoffs[kind].record(true)
	}
	if err == nil {
		return nil
	}
	return &CallError{Call: kind, Key: key, Outcome: outcome, Sent: sent, Err: err}
}

// Get reads one object; nil when the key was never written. The revision is
// the store's.
func (c *Client) Get(ctx context.Context, key string) (object *pb.Object, revision uint64, err error) {
	err = c.call(ctx, CallGet, key, func(ctx context.Context) error {
		answer, err := c.api.Get(ctx, &pb.GetRequest{Key: key})
		object, revision = answer.GetObject(), answer.GetRevision()
		return err
	})
	return object, revision, err
}

// List reads the objects below a prefix that changed after a revision,
// deleted ones included.
func (c *Client) List(ctx context.Context, prefix string, since uint64) (objects []*pb.Object, revision uint64, err error) {
	err = c.call(ctx, CallList, prefix, func(ctx context.Context) error {
		answer, err := c.api.List(ctx, &pb.ListRequest{Prefix: prefix, SinceRevision: since})
		objects, revision = answer.GetObjects(), answer.GetRevision()
		return err
	})
	return objects, revision, err
}

// Instances reads the platform's lagging list of instances.
func (c *Client) Instances(ctx context.Context) (instances []*pb.InstanceInfo, err error) {
	err = c.call(ctx, CallInstances, "", func(ctx context.Context) error {
		answer, err := c.api.ListInstances(ctx, &pb.ListInstancesRequest{})
		instances = answer.GetInstances()
		return err
	})
	return instances, err
}

// retry repeats an idempotent read with backoff until it succeeds, is
// rejected, or ctx ends.
func (c *Client) retry(ctx context.Context, kind Call, read func() error) error {
	for {
		err := read()
		var failed *CallError
		if err == nil || (errors.As(err, &failed) && failed.Outcome == OutcomeRejected) || ctx.Err() != nil {
			return err
		}
		if c.backoffs[kind].wait(ctx) != nil {
			return err
		}
	}
}

// RetryInstances is Instances, repeated until ctx ends.
func (c *Client) RetryInstances(ctx context.Context) (instances []*pb.InstanceInfo, err error) {
	err = c.retry(ctx, CallInstances, func() (err error) {
		instances, err = c.Instances(ctx)
		return err
	})
	return instances, err
}

// RetryGet is Get, repeated until ctx ends.
func (c *Client) RetryGet(ctx context.Context, key string) (object *pb.Object, revision uint64, err error) {
	err = c.retry(ctx, CallGet, func() (err error) {
		object, revision, err = c.Get(ctx, key)
		return err
	})
	return object, revision, err
}

// RetryList is List, repeated until ctx ends.
func (c *Client) RetryList(ctx context.Context, prefix string, since uint64) (objects []*pb.Object, revision uint64, err error) {
	err = c.retry(ctx, CallList, func() (err error) {
		objects, revision, err = c.List(ctx, prefix, since)
		return err
	})
	return objects, revision, err
}
