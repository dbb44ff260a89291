package relay

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// requestTimeout bounds the time to the header of a response with state, and a whole
	// handover of flow records.
	requestTimeout = 500 * time.Millisecond
	// maxLargeStates bounds the states of more than smallStateBytes bytes that an instance
	// sends at the same time. More transfers would slow each other down until none ends
	// within its time limit.
	maxLargeStates  = 2
	smallStateBytes = 64 << 10
	// statePieceBytes is the size of the pieces in which a state is sent; each one has the
	// stall limit.
	statePieceBytes = 16 << 10
	// sendBufferBytes is the size of the send buffer of a connection from another instance.
	// What is in the buffer counts as sent.
	sendBufferBytes = 64 << 10
	// maxMembersWithState bounds the members that are sent with a state; they take about
	// 25 KB.
	maxMembersWithState = 256
	// pieceTimeout bounds the time in which a piece of a state can be handed to the kernel. It
	// is longer than the stall limit of the requesting instance, which ends the transfer,
	// because the kernel frees its send buffer in large steps on a slow link.
	pieceTimeout = 3 * time.Second
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
	// busyHeader is set in a response with status 503 of an instance that holds state but
	// sends maxLargeStates of them.
	busyHeader = "Chivemast-Busy"
)

// jsonState is the JSON response to a request for an instance's state.
type jsonState struct {
	Update *wireUpdate `json:"update"`
	AgeMS  int64       `json:"age_ms"`
}

var (
	errStateEmpty = errors.New("state response contains no update")
	errBusy       = errors.New("this instance sends its state to others")
)

// ErrNoPeer reports that no instance is known that a request may be sent to.
var ErrNoPeer = errors.New("no instance is known that the request may be sent to")

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
	body, release, err := r.prepareState(kind, func() ([]byte, error) { return encode(update, age) })
	switch {
	case errors.Is(err, errBusy):
		w.Header().Set(busyHeader, "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer release()
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(macHeader, hex.EncodeToString(r.auth.Sign(nonce, path, body)))
	r.cfg.Observer.Sent(KindState, sendState(w, body))
}

// prepareState returns an encoded state, and a function that must be called when it has been
// sent. It fails with errBusy if the state is large and maxLargeStates are being sent, and
// with the error of encode.
func (r *Relay) prepareState(kind catalog.Kind, encode func() ([]byte, error)) (body []byte, release func(), err error) {
	release = func() {}
	acquire := func() bool {
		select {
		case r.largeStates <- struct{}{}:
			release = func() { <-r.largeStates }
			return true
		default:
			return false
		}
	}
	// The size of the last state decides before the work of encoding this one.
	large := r.stateBytes[kind].Load() > smallStateBytes
	if large && !acquire() {
		return nil, nil, errBusy
	}
	if body, err = encode(); err != nil {
		release()
		return nil, nil, err
	}
	r.stateBytes[kind].Store(int64(len(body)))
	if !large && len(body) > smallStateBytes && !acquire() {
		return nil, nil, errBusy
	}
	return body, release, nil
}

// sendState writes a state within stateLimits and returns the number of bytes written. The
// requesting instance reports a failed transfer.
func sendState(w http.ResponseWriter, body []byte) (sent int) {
	control, end := http.NewResponseController(w), time.Now().Add(stateLimits.Total)
	for len(body) > 0 {
		deadline := time.Now().Add(pieceTimeout)
		if deadline.After(end) {
			deadline = end
		}
		_ = control.SetWriteDeadline(deadline) // Without support, the requesting instance ends the transfer.
		n, err := w.Write(body[:min(len(body), statePieceBytes)])
		if sent += n; err != nil {
			return sent
		}
		body = body[n:]
	}
	_ = control.Flush()                       // The requesting instance notices a failed write itself.
	_ = control.SetWriteDeadline(time.Time{}) // As above.
	return sent
}

// LimitSendBuffer limits the send buffer of a connection, so that the time in which a state is
// written is about the time in which it is sent. It is for http.Server.ConnContext of the
// server of Handler.
func LimitSendBuffer(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // The system then chooses the size.
	}
	return ctx
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
