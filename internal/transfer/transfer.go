// Package transfer makes HTTP calls whose time limits follow the progress of the
// response. A limit for the whole transfer fails large bodies on slow or shared links
// over and over, and each repetition loads the link again; a limit for the time without
// progress finds a silent connection as fast.
package transfer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Limits bounds the parts of a call. All are required.
type Limits struct {
	// Header bounds the time to the header of the response, including the set-up of the
	// connection.
	Header time.Duration
	// Stall bounds the time without a further byte of the body.
	Stall time.Duration
	// Total bounds the time from the header to the end of the body.
	Total time.Duration
}

// Limit is a limit of Limits.
type Limit int

// Limits that a call can exceed.
const (
	LimitHeader Limit = iota
	LimitStall
	LimitTotal
)

// LimitLabels has the label of each Limit, as it is exceeded.
var LimitLabels = []string{"no_response", "stalled", "too_slow"}

// TimeoutError reports that a call exceeded a limit. It wraps
// context.DeadlineExceeded.
type TimeoutError struct {
	Limit Limit
	// After is the value of the limit.
	After time.Duration
}

func (e *TimeoutError) Error() string {
	return [...]string{"no response within ", "no further byte within ", "body not complete within "}[e.Limit] + e.After.String()
}

// Unwrap returns context.DeadlineExceeded.
func (e *TimeoutError) Unwrap() error { return context.DeadlineExceeded }

// Error reports a call without a complete response.
type Error struct {
	// Received is the number of bytes of the body that had arrived.
	Received int
	// Err is a *TimeoutError, the error of the caller's context or an error of the network.
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%v (received %d bytes)", e.Err, e.Received) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

type progressKey struct{}

// WithProgress returns a context that makes Do and Transport call progress when the header of
// a response has arrived, and with each part of its body; Do only for status 200.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// ReportProgress calls the function of WithProgress, if ctx has one.
func ReportProgress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}

// limiter ends the context of a call that exceeds its limits.
type limiter struct {
	limits Limits
	cancel context.CancelCauseFunc
	// progressed is called with each progress.
	progressed func()

	mu sync.Mutex
	// header runs until the first progress, stall and total from then on.
	header, stall, total *time.Timer
	ended                bool
}

func newLimiter(ctx context.Context, limits Limits, progressed func()) (context.Context, *limiter) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &limiter{limits: limits, cancel: cancel, progressed: progressed}
	l.header = l.start(LimitHeader, limits.Header)
	return ctx, l
}

func (l *limiter) start(limit Limit, after time.Duration) *time.Timer {
	return time.AfterFunc(after, func() { l.cancel(&TimeoutError{limit, after}) })
}

// progress records that the header or a part of the body has arrived.
func (l *limiter) progress() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.ended:
		return
	case l.stall == nil:
		l.header.Stop()
		l.stall, l.total = l.start(LimitStall, l.limits.Stall), l.start(LimitTotal, l.limits.Total)
	default:
		l.stall.Reset(l.limits.Stall)
	}
	l.progressed()
}

// end stops the limits and ends the context.
func (l *limiter) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.header.Stop()
	if l.stall != nil {
		l.stall.Stop()
		l.total.Stop()
	}
	l.cancel(nil)
}

// WithLimits returns a context for one call over a Transport. It ends with a *TimeoutError as
// its cause when the call exceeds a limit. The returned function releases its resources.
func WithLimits(ctx context.Context, limits Limits) (context.Context, func()) {
	limited, l := newLimiter(ctx, limits, func() { ReportProgress(ctx) })
	return WithProgress(limited, l.progress), l.end
}

// Transport makes the responses of Base report their progress to the context of the
// request, see WithProgress.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	ReportProgress(request.Context())
	response.Body = &progressBody{response.Body, func() { ReportProgress(request.Context()) }}
	return response, nil
}

// Do makes a call and reads up to maxBytes+1 bytes of the body, so that a longer body shows.
// It fails with *Error.
func Do(client *http.Client, request *http.Request, limits Limits, maxBytes int) (*Response, error) {
	succeeds := false
	ctx, l := newLimiter(request.Context(), limits, func() {
		if succeeds {
			ReportProgress(request.Context())
		}
	})
	defer l.end()
	failed := func(received int, err error) error {
		if timeout, ok := context.Cause(ctx).(*TimeoutError); ok {
			err = timeout
		}
		return &Error{Received: received, Err: err}
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, failed(0, err)
	}
	succeeds = response.StatusCode == http.StatusOK
	l.progress()
	reader := &progressBody{response.Body, l.progress}
	defer func() { _ = reader.Close() }() // The body has been read; an error here has no effect.
	var body bytes.Buffer
	body.Grow(int(min(max(response.ContentLength, 0), int64(maxBytes))) + bytes.MinRead)
	if _, err := body.ReadFrom(io.LimitReader(reader, int64(maxBytes)+1)); err != nil {
		return nil, failed(body.Len(), err)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body.Bytes()}, nil
}

// maxRead is the number of bytes that one read asks for: the body of net/http fills the buffer
// from a chunk before it returns, and so reports no progress until then.
const maxRead = 8 << 10

// progressBody calls progress with each read that returns bytes.
type progressBody struct {
	io.ReadCloser
	progress func()
}

func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		b.progress()
	}
	return n, err
}
