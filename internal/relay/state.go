package relay

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// requestTimeout bounds an HTTP request to another instance.
	requestTimeout = 500 * time.Millisecond
	// maxStateRequests is the number of instances that are asked for the state of a kind
	// at the same time, because one of them may be about to end.
	maxStateRequests = 2
	// maxMembersWithState bounds the members that are sent with a state; they take about
	// 25 KB.
	maxMembersWithState = 256
	// slowRequestAfter is the time without an answer after which FetchState asks another
	// instance as well.
	slowRequestAfter = 100 * time.Millisecond
	// statePath is the URL path of requests for an instance's state, followed by
	// the kind. The response is a relayv1.State.
	statePath = "/v2/state/"
	// jsonStatePath is the same for versions that read JSON only.
	jsonStatePath = "/v1/knowledge/"
	// maxStateBytes bounds the body of a response in bytes: 3,700 upstreams take
	// 0.2 MB, and 1 MB in JSON.
	maxStateBytes = 8 << 20
	// nonceSize is the size in bytes of the random nonce that binds a response to
	// its request.
	nonceSize = 16
	// nonceHeader carries the nonce, macHeader the authentication code (MAC) of
	// the nonce, the path and, in a response, the body; both in hexadecimal.
	nonceHeader = "Chivemast-Nonce"
	macHeader   = "Chivemast-Sum"
)

// jsonState is the JSON response to a request for an instance's state.
type jsonState struct {
	Update *wireUpdate `json:"update"`
	AgeMS  int64       `json:"age_ms"`
}

var errStateEmpty = errors.New("state response contains no update")

// ErrNoPeer reports that no instance is known that a request may be sent to.
var ErrNoPeer = errors.New("no instance is known that the request may be sent to")

// FetchState implements catalogsync.Peers: it requests the state of a kind from members
// that reported a later position, and returns the first state that arrives. It waits for
// such a member, and asks another one after a failure or slowRequestAfter, until ctx
// ends; then it fails with the error of ctx, joined with that of the last request.
func (r *Relay) FetchState(ctx context.Context, kind catalog.Kind, newerThan catalog.Position) (catalogsync.PeerState, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		source string
		state  catalogsync.PeerState
		err    error
	}
	results := make(chan result)
	// running stores the start of each request that has no result yet.
	running := map[string]time.Time{}
	var last error
	for {
		sources, changed := r.stateSources(kind, newerThan)
		for _, source := range nextSources(time.Now(), sources, running) {
			running[source.Name] = time.Now()
			go func() {
				state, err := r.requestState(ctx, source, kind)
				select {
				case results <- result{source.Name, state, err}:
				case <-ctx.Done():
				}
			}()
		}
		retry := time.NewTimer(slowRequestAfter)
		select {
		case <-ctx.Done():
			retry.Stop()
			return catalogsync.PeerState{}, fmt.Errorf("fetch the state of %s from another instance: %w", kind, errors.Join(ctx.Err(), last))
		case answer := <-results:
			delete(running, answer.source)
			if answer.err == nil && answer.state.Update.Position().Compare(newerThan) > 0 {
				retry.Stop()
				return answer.state, nil
			}
			last = answer.err
			r.forgetPosition(answer.source, kind)
		case <-changed:
		case <-retry.C:
		}
		retry.Stop()
	}
}

// nextSources returns the sources that are to be asked now: those without a running
// request, as long as fewer than maxStateRequests run since less than slowRequestAfter.
func nextSources(now time.Time, sources []Member, running map[string]time.Time) []Member {
	free := maxStateRequests
	for _, began := range running {
		if now.Sub(began) < slowRequestAfter {
			free--
		}
	}
	var next []Member
	for _, source := range sources {
		if _, asked := running[source.Name]; !asked && len(next) < free {
			next = append(next, source)
		}
	}
	return next
}

// forgetPosition removes the reported position of a member that did not provide its
// state, until the member reports again.
func (r *Relay) forgetPosition(name string, kind catalog.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership.forgetPosition(name, kind)
}

// stateSources returns the members to request state from, and a channel that is closed
// when a member reports its positions.
func (r *Relay) stateSources(kind catalog.Kind, newerThan catalog.Position) ([]Member, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.stateSources(kind, newerThan), r.sourcesChanged
}

// requestState requests the state of a kind from a member. The time that the request
// took counts as a part of the state's age.
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
		return catalogsync.PeerState{}, err
	}
	r.recordMentions(time.Now(), members)
	return catalogsync.PeerState{Update: update, Age: age + time.Since(began), Source: source.Name}, nil
}

func decodeJSONState(body []byte) (catalogsync.Update, time.Duration, []mention, error) {
	var state jsonState
	if err := json.Unmarshal(body, &state); err != nil {
		return catalogsync.Update{}, 0, nil, &MessageError{Err: err}
	}
	if state.Update == nil {
		return catalogsync.Update{}, 0, nil, &MessageError{Err: errStateEmpty}
	}
	update, err := state.Update.decode()
	return update, time.Duration(state.AgeMS) * time.Millisecond, nil, err
}

func (r *Relay) recordMentions(now time.Time, mentions []mention) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mentioned := range mentions {
		r.membership.recordMention(now, mentioned)
	}
}

func (r *Relay) freshestMembers(now time.Time) []mention {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.freshest(now, maxMembersWithState)
}

// getState returns the authentic body of a response with a state.
func (r *Relay) getState(ctx context.Context, address netip.AddrPort, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, err
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // rand.Read never fails.
	request.Header.Set(nonceHeader, hex.EncodeToString(nonce))
	request.Header.Set(macHeader, hex.EncodeToString(r.auth.Sign(nonce, []byte(path))))
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // The body has been read; an error has no effect.
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance at %s: status %d", address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, err
	}
	if !r.auth.Verify(macOf(response.Header), nonce, []byte(path), body) {
		err := &peerauth.Error{Reason: peerauth.Forged}
		r.cfg.Observer.Rejected(address, err)
		return nil, err
	}
	r.cfg.Observer.Received(KindState, len(body))
	return body, nil
}

// Handler returns the HTTP handler for the requests of other instances: for this
// instance's state, and for the handover of flow records. It must be served over
// TCP at Config.Self.Address.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(flowsPath, r.handleFlows)
	for _, kind := range catalog.Kinds() {
		mux.HandleFunc(statePath+kind.String(), func(w http.ResponseWriter, request *http.Request) {
			r.handleStateRequest(w, request, kind, "application/protobuf", func(update catalogsync.Update, age time.Duration) ([]byte, error) {
				return encodeState(update, age, r.freshestMembers(time.Now()))
			})
		})
		mux.HandleFunc(jsonStatePath+kind.String(), func(w http.ResponseWriter, request *http.Request) {
			r.handleStateRequest(w, request, kind, "application/json", func(update catalogsync.Update, age time.Duration) ([]byte, error) {
				return json.Marshal(jsonState{Update: encodeUpdate(update), AgeMS: age.Milliseconds()})
			})
		})
	}
	return mux
}

// handleStateRequest answers a request with the state of a kind in an encoding.
func (r *Relay) handleStateRequest(w http.ResponseWriter, request *http.Request, kind catalog.Kind, mediaType string,
	encode func(catalogsync.Update, time.Duration) ([]byte, error),
) {
	path := []byte(request.URL.Path)
	nonce, err := hex.DecodeString(request.Header.Get(nonceHeader))
	if err != nil || len(nonce) != nonceSize || !r.auth.Verify(macOf(request.Header), nonce, path) {
		rejected := &peerauth.Error{Reason: peerauth.Forged}
		r.cfg.Observer.Rejected(sourceAddress(request), rejected)
		http.Error(w, rejected.Error(), http.StatusForbidden)
		return
	}
	update, age, known := r.cfg.State(kind)
	if !known {
		http.Error(w, "no confirmed state of this kind yet", http.StatusServiceUnavailable)
		return
	}
	body, err := encode(update, age)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set(macHeader, hex.EncodeToString(r.auth.Sign(nonce, path, body)))
	r.cfg.Observer.Sent(KindState, len(body))
	_, _ = w.Write(body) // The requesting instance notices a failed write itself.
}

// macOf returns the authentication code of a request or a response, or nil when
// the header has no valid one.
func macOf(header http.Header) []byte {
	mac, err := hex.DecodeString(header.Get(macHeader))
	if err != nil {
		return nil
	}
	return mac
}

// sourceAddress returns the address that a request came from, or the zero value
// when it cannot be parsed.
func sourceAddress(request *http.Request) netip.AddrPort {
	source, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		// The log then shows an invalid address.
		return netip.AddrPort{}
	}
	return source
}
