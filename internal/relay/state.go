package relay

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
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
	// statePath is the URL path of requests for an instance's state, followed by
	// the kind.
	statePath = "/v1/knowledge/"
	// maxStateBytes bounds the body of a response in bytes: 3,700 upstreams take
	// 1 MB.
	maxStateBytes = 8 << 20
	// nonceSize is the size in bytes of the random nonce that binds a response to
	// its request.
	nonceSize = 16
	// nonceHeader carries the nonce, macHeader the authentication code (MAC) of
	// the nonce, the path and, in a response, the body; both in hexadecimal.
	nonceHeader = "Chivemast-Nonce"
	macHeader   = "Chivemast-Sum"
)

// stateResponse is the JSON response to a request for an instance's state.
type stateResponse struct {
	Update *wireUpdate `json:"update"`
	AgeMS  int64       `json:"age_ms"`
}

// ErrNoPeer reports that no instance is known that a request may be sent to.
var ErrNoPeer = errors.New("no instance is known that the request may be sent to")

// FetchState implements catalogsync.Peers: it requests the state of a kind from up to
// two random peers and then from the seeds, which may be of any failure domain, one
// after another. It returns the first state that it receives and its age, without
// the time of the transfer. It fails with an error that wraps ErrNoPeer or the error
// of the last request.
func (r *Relay) FetchState(ctx context.Context, kind catalog.Kind) (catalogsync.Update, time.Duration, error) {
	addresses := r.stateSources()
	err := ErrNoPeer
	for _, address := range addresses {
		var state *stateResponse
		if state, err = r.requestState(ctx, address, kind); err != nil {
			continue
		}
		update, decodeErr := state.Update.decode()
		if decodeErr == nil {
			return update, time.Duration(state.AgeMS) * time.Millisecond, nil
		}
		err = decodeErr
	}
	return catalogsync.Update{}, 0, fmt.Errorf("fetch the state of %s from another instance: %w", kind, err)
}

// stateSources returns the addresses to request state from: up to two random
// peers, then the seeds except for this instance.
func (r *Relay) stateSources() []netip.AddrPort {
	var addresses []netip.AddrPort
	peers := r.Peers()
	mathrand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), 2)] {
		addresses = append(addresses, peer.Address)
	}
	for _, seed := range r.cfg.Seeds {
		if seed != r.cfg.Self.Address {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (r *Relay) requestState(ctx context.Context, address netip.AddrPort, kind catalog.Kind) (*stateResponse, error) {
	path := statePath + kind.String()
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
	state := &stateResponse{}
	if err := json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	if state.Update == nil {
		return nil, &MessageError{Err: errors.New("state response contains no update")}
	}
	return state, nil
}

// Handler returns the HTTP handler for the requests of other instances: for this
// instance's state, and for the handover of flow records. It must be served over
// TCP at Config.Self.Address.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(flowsPath, r.handleFlows)
	for _, kind := range catalog.Kinds() {
		mux.HandleFunc(statePath+kind.String(), func(w http.ResponseWriter, request *http.Request) {
			r.handleStateRequest(w, request, kind)
		})
	}
	return mux
}

func (r *Relay) handleStateRequest(w http.ResponseWriter, request *http.Request, kind catalog.Kind) {
	path := []byte(statePath + kind.String())
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
	body, err := json.Marshal(stateResponse{Update: encodeUpdate(update), AgeMS: age.Milliseconds()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(macHeader, hex.EncodeToString(r.auth.Sign(nonce, path, body)))
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
