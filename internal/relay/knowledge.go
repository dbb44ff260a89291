package relay

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	shuffle "math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/follow"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// knowledgeTimeout bounds a request for another instance's knowledge.
	knowledgeTimeout = 500 * time.Millisecond
	// knowledgePath is the path of such requests, followed by the kind.
	knowledgePath = "/v1/knowledge/"
	// maxKnowledge bounds the answer in bytes: 3,700 upstreams take 1 MB.
	maxKnowledge = 8 << 20
	// nonceSize is the size of the number in bytes that ties an answer to its
	// request.
	nonceSize = 16
	// nonceHeader carries that number, sumHeader the sum over it, the path and
	// the body, both in hexadecimal digits.
	nonceHeader = "Chivemast-Nonce"
	sumHeader   = "Chivemast-Sum"
)

// knowledge is the answer to a request for an instance's knowledge.
type knowledge struct {
	Update *wireUpdate `json:"update"`
	AgeMS  int64       `json:"age_ms"`
}

// ErrNoMate says that no instance can be asked for its knowledge.
var ErrNoMate = errors.New("no instance with knowledge is known")

// Knowledge implements follow.Mates.
func (r *Relay) Knowledge(ctx context.Context, kind catalog.Kind) (follow.Update, time.Duration, error) {
	addresses := r.askable()
	err := ErrNoMate
	for _, address := range addresses {
		var k *knowledge
		if k, err = r.ask(ctx, address, kind); err != nil {
			continue
		}
		update, decodeErr := k.Update.decode()
		if decodeErr == nil {
			return update, time.Duration(k.AgeMS) * time.Millisecond, nil
		}
		err = decodeErr
	}
	return follow.Update{}, 0, fmt.Errorf("knowledge of %s: %w", kind, err)
}

// askable returns the addresses to ask: a few mates, then the seeds.
func (r *Relay) askable() []netip.AddrPort {
	var addresses []netip.AddrPort
	mates := r.Mates()
	shuffle.Shuffle(len(mates), func(i, j int) { mates[i], mates[j] = mates[j], mates[i] })
	for _, mate := range mates[:min(len(mates), 2)] {
		addresses = append(addresses, mate.Address)
	}
	for _, seed := range r.cfg.Seeds {
		if seed != r.cfg.Self.Address {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (r *Relay) ask(ctx context.Context, address netip.AddrPort, kind catalog.Kind) (*knowledge, error) {
	path := knowledgePath + kind.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, err
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // It never fails.
	request.Header.Set(nonceHeader, hex.EncodeToString(nonce))
	request.Header.Set(sumHeader, hex.EncodeToString(r.guard.Sign(nonce, []byte(path))))
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // Reading is over; an error here has no effect.
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance at %s: status %d", address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKnowledge))
	if err != nil {
		return nil, err
	}
	if !r.guard.Verify(sumOf(response.Header), nonce, []byte(path), body) {
		err := &peerauth.Error{Reason: peerauth.Forged}
		r.cfg.Observer.Rejected(address, err)
		return nil, err
	}
	k := &knowledge{}
	if err := json.Unmarshal(body, k); err != nil {
		return nil, err
	}
	if k.Update == nil {
		return nil, &MessageError{Err: errors.New("no update")}
	}
	return k, nil
}

// Handler serves this instance's knowledge to others and takes flows over.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(flowsPath, r.serveFlows)
	for _, kind := range catalog.Kinds() {
		mux.HandleFunc(knowledgePath+kind.String(), func(w http.ResponseWriter, request *http.Request) {
			r.serveKnowledge(w, request, kind)
		})
	}
	return mux
}

func (r *Relay) serveKnowledge(w http.ResponseWriter, request *http.Request, kind catalog.Kind) {
	path := []byte(knowledgePath + kind.String())
	nonce, err := hex.DecodeString(request.Header.Get(nonceHeader))
	if err != nil || len(nonce) != nonceSize || !r.guard.Verify(sumOf(request.Header), nonce, path) {
		rejected := &peerauth.Error{Reason: peerauth.Forged}
		r.cfg.Observer.Rejected(sourceOf(request), rejected)
		http.Error(w, rejected.Error(), http.StatusForbidden)
		return
	}
	update, age, known := r.cfg.Knowledge(kind)
	if !known {
		http.Error(w, "not known yet", http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(knowledge{Update: encodeUpdate(update), AgeMS: age.Milliseconds()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(sumHeader, hex.EncodeToString(r.guard.Sign(nonce, path, body)))
	_, _ = w.Write(body) // The asking instance sees a failed write itself.
}

// sumOf returns the sum of a request or an answer; nil when it has none.
func sumOf(header http.Header) []byte {
	sum, err := hex.DecodeString(header.Get(sumHeader))
	if err != nil {
		return nil
	}
	return sum
}

// sourceOf returns the address that a request came from.
func sourceOf(request *http.Request) netip.AddrPort {
	source, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		// The log shows an invalid address.
		return netip.AddrPort{}
	}
	return source
}
