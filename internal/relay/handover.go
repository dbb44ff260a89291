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
	// flowsPath is the path to which a leaving instance hands its flows over.
	flowsPath = "/v1/flows"
	// flowsType is the media type of flows.
	flowsType = "application/vnd.chivemast.flows"
	// flowSize is the size of an encoded flow in bytes: two IPv4 addresses with
	// ports, the cookie, two sequence numbers and the idle time in ms.
	flowSize = 2*6 + 4*4
	// maxFlows bounds the flows in a message.
	maxFlows = 1 << 14
	// handoverAttempts is the number of mates that are asked: one of them may be
	// leaving as well.
	handoverAttempts = 2
)

// ErrNotTaken says that an instance takes no flows over: it has just started or
// is leaving itself.
var ErrNotTaken = errors.New("the instance takes no flows over")

// HandOver gives flows to another instance of the failure domain. It fails with
// an error that wraps ErrNoMate, ErrNotTaken or one of the network.
func (r *Relay) HandOver(ctx context.Context, flows []forward.FlowState) (Member, error) {
	mates := r.Mates()
	rand.Shuffle(len(mates), func(i, j int) { mates[i], mates[j] = mates[j], mates[i] })
	err := ErrNoMate
	for _, mate := range mates[:min(len(mates), handoverAttempts)] {
		if err = r.giveFlows(ctx, mate, flows); err == nil {
			return mate, nil
		}
	}
	return Member{}, fmt.Errorf("hand over flows: %w", err)
}

func (r *Relay) giveFlows(ctx context.Context, mate Member, flows []forward.FlowState) error {
	address, sealed := mate.Address, r.guard.Seal(r.sessionOf(mate), encodeFlows(flows))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+flowsPath, bytes.NewReader(sealed))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", flowsType)
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // Nothing is read; an error here has no effect.
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusServiceUnavailable:
		return fmt.Errorf("instance at %s: %w", address, ErrNotTaken)
	}
	return fmt.Errorf("instance at %s: status %d", address, response.StatusCode)
}

// serveFlows takes flows over from a leaving instance.
func (r *Relay) serveFlows(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "flows are posted", http.StatusMethodNotAllowed)
		return
	}
	flows, err := r.readFlows(request.Body)
	if err != nil {
		r.cfg.Observer.Rejected(sourceOf(request), err)
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	if !r.cfg.Flows(flows) {
		http.Error(w, ErrNotTaken.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readFlows fails with *peerauth.Error, *MessageError or an error of the network.
func (r *Relay) readFlows(body io.Reader) ([]forward.FlowState, error) {
	sealed, err := io.ReadAll(io.LimitReader(body, maxFlows*flowSize+peerauth.Overhead+1))
	if err != nil {
		return nil, err
	}
	_, payload, err := r.guard.Open(sealed)
	if err != nil {
		return nil, err
	}
	return decodeFlows(payload)
}

func statusOf(err error) int {
	var rejected *peerauth.Error
	if errors.As(err, &rejected) {
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

func encodeFlows(flows []forward.FlowState) []byte {
	flows = flows[:min(len(flows), maxFlows)]
	b := make([]byte, 0, len(flows)*flowSize)
	for _, f := range flows {
		for _, end := range []netip.AddrPort{f.Flow.Caller, f.Flow.Service} {
			address := end.Addr().As4()
			b = append(b, address[:]...)
			b = binary.BigEndian.AppendUint16(b, end.Port())
		}
		for _, v := range []uint32{uint32(f.Cookie), f.Ack, f.Sent, uint32(min(f.Idle.Milliseconds(), math.MaxUint32))} {
			b = binary.BigEndian.AppendUint32(b, v)
		}
	}
	return b
}

// decodeFlows fails with *MessageError.
func decodeFlows(data []byte) ([]forward.FlowState, error) {
	if len(data)%flowSize != 0 || len(data) > maxFlows*flowSize {
		return nil, &MessageError{Err: fmt.Errorf("%d bytes are no list of flows", len(data))}
	}
	flows := make([]forward.FlowState, 0, len(data)/flowSize)
	for ; len(data) > 0; data = data[flowSize:] {
		flows = append(flows, forward.FlowState{
			Flow:   forward.Flow{Caller: decodeEnd(data), Service: decodeEnd(data[6:])},
			Cookie: flowcookie.Cookie(binary.BigEndian.Uint32(data[12:])),
			Ack:    binary.BigEndian.Uint32(data[16:]), Sent: binary.BigEndian.Uint32(data[20:]),
			Idle: time.Duration(binary.BigEndian.Uint32(data[24:])) * time.Millisecond,
		})
	}
	return flows, nil
}

func decodeEnd(data []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(data)), binary.BigEndian.Uint16(data[4:]))
}
