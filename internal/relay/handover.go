package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// flowsPath is the URL path to which an instance that shuts down posts its
	// flow records.
	flowsPath = "/v1/flows"
	// flowsMediaType is the media type of encoded flow records.
	flowsMediaType = "application/vnd.chivemast.flows"
	// encodedFlowSize is the size of an encoded flow record in bytes: two IPv4
	// addresses with ports, the cookie, two sequence numbers and the idle time in
	// ms.
	encodedFlowSize = 2*6 + 4*4
	// maxHandoverFlows is the largest number of flow records in one handover.
	maxHandoverFlows = 1 << 14
	// handoverAttempts is the largest number of peers that are tried: the first
	// one may be shutting down as well.
	handoverAttempts = 2
)

// ErrHandoverRefused reports that a peer does not take over flow records: its
// Config.TakeOverFlows returned false, for example because the peer has just
// started or is shutting down itself.
var ErrHandoverRefused = errors.New("instance does not take over flow records")

// HandOver sends flow records to a random peer, or to a second one if that fails,
// and returns the peer that confirmed taking them over. Only the first 16,384
// records are sent. A peer that failed to confirm may still have taken the records
// over. HandOver fails with an error that wraps ErrNoPeer, or the error of the last
// attempt: ErrHandoverRefused, an error of the network, or one that names an
// unexpected status of the peer.
func (r *Relay) HandOver(ctx context.Context, flows []forward.HandoverFlow) (Member, error) {
	peers := r.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := ErrNoPeer
	for _, peer := range peers[:min(len(peers), handoverAttempts)] {
		if err = r.sendFlows(ctx, peer, flows); err == nil {
			return peer, nil
		}
	}
	return Member{}, fmt.Errorf("hand over flows: %w", err)
}

func (r *Relay) sendFlows(ctx context.Context, peer Member, flows []forward.HandoverFlow) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	address, sealed := peer.Address, r.auth.Seal(r.receiverOf(peer).session, encodeFlows(flows))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+flowsPath, bytes.NewReader(sealed))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", flowsMediaType)
	r.cfg.Observer.Sent(KindFlows, len(sealed))
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // Nothing is read; an error here has no effect.
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusServiceUnavailable:
		return fmt.Errorf("instance at %s: %w", address, ErrHandoverRefused)
	}
	return fmt.Errorf("instance at %s: status %d", address, response.StatusCode)
}

// handleFlows takes over the flow records of an instance that shuts down.
func (r *Relay) handleFlows(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "flow records must be sent by POST", http.StatusMethodNotAllowed)
		return
	}
	flows, err := r.readFlows(request.Body)
	if err != nil {
		r.cfg.Observer.Rejected(sourceAddress(request), err)
		http.Error(w, err.Error(), errorStatus(err))
		return
	}
	if !r.cfg.TakeOverFlows(flows) {
		http.Error(w, ErrHandoverRefused.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readFlows authenticates and decodes flow records. It fails with
// *peerauth.Error, *MessageError or an error of the network.
func (r *Relay) readFlows(body io.Reader) ([]forward.HandoverFlow, error) {
	sealed, err := io.ReadAll(io.LimitReader(body, maxHandoverFlows*encodedFlowSize+peerauth.Overhead+1))
	if err != nil {
		return nil, err
	}
	r.cfg.Observer.Received(KindFlows, len(sealed))
	_, payload, err := r.auth.Open(sealed)
	if err != nil {
		return nil, err
	}
	return decodeFlows(payload)
}

func errorStatus(err error) int {
	var rejected *peerauth.Error
	if errors.As(err, &rejected) {
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

func encodeFlows(flows []forward.HandoverFlow) []byte {
	flows = flows[:min(len(flows), maxHandoverFlows)]
	b := make([]byte, 0, len(flows)*encodedFlowSize)
	for _, f := range flows {
		for _, endpoint := range []netip.AddrPort{f.Flow.Caller, f.Flow.Service} {
			address := endpoint.Addr().As4()
			b = append(b, address[:]...)
			b = binary.BigEndian.AppendUint16(b, endpoint.Port())
		}
		for _, v := range []uint32{uint32(f.Cookie), f.Ack, f.DataEnd, uint32(min(f.Idle.Milliseconds(), math.MaxUint32))} {
			b = binary.BigEndian.AppendUint32(b, v)
		}
	}
	return b
}

// decodeFlows decodes flow records. It fails with *MessageError.
func decodeFlows(data []byte) ([]forward.HandoverFlow, error) {
	if len(data)%encodedFlowSize != 0 || len(data) > maxHandoverFlows*encodedFlowSize {
		return nil, &MessageError{Err: fmt.Errorf("%d bytes of flow records: not a multiple of the record size, or above the maximum", len(data))}
	}
	flows := make([]forward.HandoverFlow, 0, len(data)/encodedFlowSize)
	for ; len(data) > 0; data = data[encodedFlowSize:] {
		flows = append(flows, forward.HandoverFlow{
			Flow:   forward.Flow{Caller: decodeAddrPort(data), Service: decodeAddrPort(data[6:])},
			Cookie: flowcookie.Cookie(binary.BigEndian.Uint32(data[12:])),
			Ack:    binary.BigEndian.Uint32(data[16:]), DataEnd: binary.BigEndian.Uint32(data[20:]),
			Idle: time.Duration(binary.BigEndian.Uint32(data[24:])) * time.Millisecond,
		})
	}
	return flows, nil
}

func decodeAddrPort(data []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(data)), binary.BigEndian.Uint16(data[4:]))
}
