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

// WithProgress returns a context that makes Do call progress when the header of a response
// with status 200 has arrived, and with each part of its body.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// ReportProgress calls the function of WithProgress, if ctx has one.
func ReportProgress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}

// Do makes a call and reads up to maxBytes+1 bytes of the body, so that a longer body shows.
// It fails with *Error.
func Do(client *http.Client, request *http.Request, limits Limits, maxBytes int) (*Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	limit := func(which Limit, after time.Duration) *time.Timer {
		return time.AfterFunc(after, func() { cancel(&TimeoutError{which, after}) })
	}
	failed := func(received int, err error) error {
		if timeout, ok := context.Cause(ctx).(*TimeoutError); ok {
			err = timeout
		}
		return &Error{Received: received, Err: err}
	}
	header := limit(LimitHeader, limits.Header)
	response, err := client.Do(request.WithContext(ctx))
	header.Stop()
	if err != nil {
		return nil, failed(0, err)
	}
	defer func() { _ = response.Body.Close() }() // The body has been read; an error here has no effect.
	progress := func() {
		if response.StatusCode == http.StatusOK {
			ReportProgress(ctx)
		}
	}
	progress()
	stall, total := limit(LimitStall, limits.Stall), limit(LimitTotal, limits.Total)
	defer stall.Stop()
	defer total.Stop()
	var body bytes.Buffer
	body.Grow(int(min(max(response.ContentLength, 0), int64(maxBytes))) + bytes.MinRead)
	reader := &progressReader{response.Body, func() { stall.Reset(limits.Stall); progress() }}
	if _, err := body.ReadFrom(io.LimitReader(reader, int64(maxBytes)+1)); err != nil {
		return nil, failed(body.Len(), err)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body.Bytes()}, nil
}

// progressReader calls progress with each read that returns bytes.
type progressReader struct {
	body     io.Reader
	progress func()
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}
