package relay

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/internal/transfer"
)

const (
	// maxStateRequests bounds the requests of one FetchState in flight. The second one is
	// sent after slowRequestAfter without a response to the first one, because its source
	// may be about to end.
	maxStateRequests = 2
	// slowRequestAfter is the time without a response after which FetchState asks another
	// instance as well.
	slowRequestAfter = 100 * time.Millisecond
	// maxBusySources is the number of sources that one round of FetchState asks although
	// the ones before were busy.
	maxBusySources = 4
	// fetchPauseMin and fetchPauseMax bound the mean pause after a round of FetchState
	// that failed. With the stall limit, failing transfers then take a bounded share of a
	// link.
	fetchPauseMin = 200 * time.Millisecond
	fetchPauseMax = 2 * time.Second
)

// stateLimits bounds the transfer of a state: 750 KB on a tenth of a link of 10 Mbit/s take
// 6 s.
var stateLimits = transfer.Limits{Header: requestTimeout, Stall: 600 * time.Millisecond, Total: 15 * time.Second}

// FetchFailure is the class of a failed request for the state of a member.
type FetchFailure int

// Classes of failed requests for state.
const (
	// FetchUnreachable: the connection failed before a byte of the state arrived.
	FetchUnreachable FetchFailure = iota
	// FetchInterrupted: the connection failed while the state arrived.
	FetchInterrupted
	// FetchNoResponse: no response arrived in time.
	FetchNoResponse
	// FetchStalled: no further byte of the state arrived in time.
	FetchStalled
	// FetchTooSlow: the state did not arrive within the time limit of a transfer.
	FetchTooSlow
	// FetchBusy: the member sends its state to others.
	FetchBusy
	// FetchNoState: the member holds no state.
	FetchNoState
	// FetchRefused: the member answered with another status.
	FetchRefused
	// FetchUnusable: the response is not authentic, or cannot be decoded.
	FetchUnusable
	// FetchOutdated: the state is not later than that of this instance.
	FetchOutdated
)

// FetchFailureLabels has the label of each FetchFailure.
var FetchFailureLabels = []string{
	"unreachable", "interrupted", "no_response", "stalled", "too_slow", "busy", "no_state", "refused", "unusable", "outdated",
}

func (f FetchFailure) String() string { return FetchFailureLabels[f] }

// FetchError reports that a member did not provide its state.
type FetchError struct {
	Failure FetchFailure
	// Received is the number of bytes of the state that had arrived.
	Received int
	// Err is the cause.
	Err error
}

func (e *FetchError) Error() string { return fmt.Sprintf("%s: %v", e.Failure, e.Err) }

// Unwrap returns the cause.
func (e *FetchError) Unwrap() error { return e.Err }

// FailedFetch is a request for state that failed.
type FailedFetch struct {
	Kind catalog.Kind
	// Source is the name of the member.
	Source string
	// Took is the time from the request to the failure.
	Took time.Duration
	Err  *FetchError
}

var (
	errStateOutdated = errors.New("the state is not later than the own one")
	errStateTooLarge = fmt.Errorf("the state has more than %d bytes", maxStateBytes)
)

// stateFetch is the state of one FetchState. All maps are by name of the source.
type stateFetch struct {
	// running stores the start of each request that has no result yet, cancel what ends
	// it.
	running map[string]time.Time
	cancel  map[string]context.CancelFunc
	// receiving is the source whose state arrives, or empty.
	receiving string
	// busy stores the sources that were busy since the last pause, failed the time of the last
	// failure of the others.
	busy   map[string]bool
	failed map[string]time.Time
	// failures counts the rounds that failed. The next request is sent at resume.
	failures int
	resume   time.Time
}

func newStateFetch() *stateFetch {
	return &stateFetch{
		running: map[string]time.Time{}, cancel: map[string]context.CancelFunc{}, busy: map[string]bool{}, failed: map[string]time.Time{},
	}
}

// fetchResult is the result of a request that began at the given time.
type fetchResult struct {
	source string
	began  time.Time
	state  catalogsync.PeerState
	err    *FetchError
}

// FetchState implements catalogsync.Peers: it requests the state of a kind from members
// that reported a later position, and returns the first state that arrives. It waits for
// such a member, and asks another one after a failure, or slowRequestAfter without a
// response, until ctx ends; then it fails with the error of ctx, joined with that of the last
// request. While a state arrives, no other one is requested. After a transfer that failed
// and while all sources are busy, it pauses.
func (r *Relay) FetchState(ctx context.Context, kind catalog.Kind, newerThan catalog.Position) (catalogsync.PeerState, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newStateFetch()
	responses, results := make(chan fetchResult), make(chan fetchResult)
	var last error
	for {
		sources, changed := r.stateSources(kind, newerThan)
		for _, source := range f.next(time.Now(), sources) {
			r.startRequest(ctx, f, source, kind, newerThan, responses, results)
		}
		retry := time.NewTimer(f.wait(time.Now()))
		select {
		case <-ctx.Done():
			retry.Stop()
			return catalogsync.PeerState{}, fmt.Errorf("fetch the state of %s from another instance: %w", kind, errors.Join(ctx.Err(), last))
		case response := <-responses:
			f.recordResponse(response)
		case result := <-results:
			if !f.end(result) {
				break
			}
			if result.err == nil {
				retry.Stop()
				return result.state, nil
			}
			last = result.err
			r.cfg.Observer.StateFetchFailed(FailedFetch{kind, result.source, time.Since(result.began), result.err})
			if f.recordFailure(time.Now(), result) {
				r.forgetPosition(result.source, kind)
			}
		case <-changed:
		case <-retry.C:
		}
		retry.Stop()
	}
}

// startRequest requests the state of a source. It sends to responses when the state begins
// to arrive, and then to results.
func (r *Relay) startRequest(ctx context.Context, f *stateFetch, source Member, kind catalog.Kind, newerThan catalog.Position, responses, results chan<- fetchResult) {
	ctx, cancel := context.WithCancel(ctx)
	began := time.Now()
	f.running[source.Name], f.cancel[source.Name] = began, cancel
	send := func(to chan<- fetchResult, result fetchResult) {
		select {
		case to <- result:
		case <-ctx.Done():
		}
	}
	go func() {
		defer cancel()
		responded := false
		progress := transfer.WithProgress(ctx, func() {
			if !responded {
				responded = true
				send(responses, fetchResult{source: source.Name, began: began})
			}
		})
		result := fetchResult{source: source.Name, began: began}
		var err error
		result.state, err = r.requestState(progress, source, kind)
		if err != nil && !errors.As(err, &result.err) {
			result.err = &FetchError{Failure: FetchRefused, Err: err}
		}
		if err == nil && result.state.Update.Position().Compare(newerThan) <= 0 {
			result.err = &FetchError{Failure: FetchOutdated, Err: errStateOutdated}
		}
		send(results, result)
	}()
}

// next returns the sources that are to be asked now.
func (f *stateFetch) next(now time.Time, sources []Member) []Member {
	if f.receiving != "" || now.Before(f.resume) {
		return nil
	}
	idle := slices.DeleteFunc(slices.Clone(sources), func(source Member) bool {
		failed, known := f.failed[source.Name]
		return f.busy[source.Name] || (known && now.Sub(failed) < slowRequestAfter)
	})
	if len(f.busy) > 0 && len(f.running) == 0 && (len(idle) == 0 || len(f.busy) >= maxBusySources) {
		f.pause(now)
		return nil
	}
	return nextSources(now, idle, f.running)
}

// nextSources returns the source that is to be asked now, if any: one without a running
// request, if fewer than maxStateRequests run, all since slowRequestAfter.
func nextSources(now time.Time, sources []Member, running map[string]time.Time) []Member {
	for _, began := range running {
		if now.Sub(began) < slowRequestAfter {
			return nil
		}
	}
	for _, source := range sources {
		if _, asked := running[source.Name]; !asked && len(running) < maxStateRequests {
			return []Member{source}
		}
	}
	return nil
}

// wait returns the time until next may return other sources.
func (f *stateFetch) wait(now time.Time) time.Duration {
	return max(slowRequestAfter, f.resume.Sub(now))
}

// pause starts a pause with a random length, whose mean doubles with each failure.
func (f *stateFetch) pause(now time.Time) {
	mean := min(fetchPauseMin<<min(f.failures, 8), fetchPauseMax)
	f.failures++
	f.resume = now.Add(mean/2 + mathrand.N(mean))
	clear(f.busy)
}

// recordResponse ends the other requests, because a state begins to arrive.
func (f *stateFetch) recordResponse(response fetchResult) {
	if f.running[response.source] != response.began {
		return
	}
	f.receiving = response.source
	for source, cancel := range f.cancel {
		if source != response.source {
			cancel()
			delete(f.running, source)
			delete(f.cancel, source)
		}
	}
}

// end removes the request of a result, and returns false if recordResponse has ended it.
func (f *stateFetch) end(result fetchResult) bool {
	if f.running[result.source] != result.began {
		return false
	}
	delete(f.running, result.source)
	delete(f.cancel, result.source)
	f.receiving = ""
	return true
}

// recordFailure starts a pause after a failure that took a share of a link or shows an
// overload, and returns whether the source has to report a position again before it is asked
// again.
func (f *stateFetch) recordFailure(now time.Time, result fetchResult) (forget bool) {
	switch result.err.Failure {
	case FetchBusy:
		f.busy[result.source] = true
		return false
	case FetchUnreachable, FetchNoState, FetchRefused:
	default:
		f.pause(now)
	}
	f.failed[result.source] = now
	return true
}

// requestState requests the state of a kind from a member. The time that the request
// took counts as a part of the state's age. It fails with *FetchError.
func (r *Relay) requestState(ctx context.Context, source Member, kind catalog.Kind) (catalogsync.PeerState, error) {
	began := time.Now()
	path, decode := statePath, decodeState
	if r.receiverOf(source).format == formatJSON {
		path, decode = jsonStatePath, decodeJSONState
	}
	body, err := r.getState(ctx, source.Address, path+kind.String())
	if err != nil {
		return catalogsync.PeerState{}, err
	}
	update, age, members, err := decode(body)
	if err != nil {
		return catalogsync.PeerState{}, &FetchError{Failure: FetchUnusable, Received: len(body), Err: err}
	}
	r.recordMentions(time.Now(), members)
	took := time.Since(began)
	return catalogsync.PeerState{Update: update, Age: age + took, Source: source.Name, Took: took}, nil
}

// getState returns the authentic body of a response with a state. It fails with
// *FetchError.
func (r *Relay) getState(ctx context.Context, address netip.AddrPort, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, &FetchError{Failure: FetchUnreachable, Err: err}
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // rand.Read never fails.
	request.Header.Set(nonceHeader, hex.EncodeToString(nonce))
	request.Header.Set(macHeader, hex.EncodeToString(r.auth.Sign(nonce, []byte(path))))
	response, err := transfer.Do(r.client, request, stateLimits, maxStateBytes)
	if err != nil {
		return nil, fetchErrorOf(err)
	}
	if response.Status != http.StatusOK {
		return nil, &FetchError{Failure: failureOfStatus(response), Err: fmt.Errorf("instance at %s: status %d", address, response.Status)}
	}
	if len(response.Body) > maxStateBytes {
		return nil, &FetchError{Failure: FetchUnusable, Received: len(response.Body), Err: errStateTooLarge}
	}
	if !r.auth.Verify(macOf(response.Header), nonce, []byte(path), response.Body) {
		err := &peerauth.Error{Reason: peerauth.Forged}
		r.cfg.Observer.Rejected(address, err)
		return nil, &FetchError{Failure: FetchUnusable, Received: len(response.Body), Err: err}
	}
	r.cfg.Observer.Received(KindState, len(response.Body))
	return response.Body, nil
}

// fetchErrorOf returns the *FetchError for an error of transfer.Do.
func fetchErrorOf(err error) *FetchError {
	failed := &FetchError{Failure: FetchUnreachable, Err: err}
	var incomplete *transfer.Error
	if errors.As(err, &incomplete) && incomplete.Received > 0 {
		failed.Failure, failed.Received = FetchInterrupted, incomplete.Received
	}
	var timeout *transfer.TimeoutError
	if errors.As(err, &timeout) {
		failed.Failure = [...]FetchFailure{FetchNoResponse, FetchStalled, FetchTooSlow}[timeout.Limit]
	}
	return failed
}

func failureOfStatus(response *transfer.Response) FetchFailure {
	switch {
	case response.Status != http.StatusServiceUnavailable:
		return FetchRefused
	case response.Header.Get(busyHeader) != "":
		return FetchBusy
	}
	return FetchNoState
}
