// Package peerauth authenticates the messages between instances. A message is
// accepted only if the sender has a key, only once, and only by the incarnation of
// the receiver that it was sealed for. The package uses no clock, because clocks
// jump, and no state that outlives the process: each incarnation has a random
// session number, and a message contains the sessions of the sender and the
// receiver and the sender's sequence number.
package peerauth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"sync"
)

const (
	// KeySize is the size of a key in bytes.
	KeySize = 32
	// MaxKeys is the largest number of keys in force: the one that signs, and the
	// one before or after it in a key rotation.
	MaxKeys = 2
	// Overhead is the number of bytes that Seal adds to a payload.
	Overhead = headerSize + macSize

	// headerSize is the size in bytes of the version, two sessions and the
	// sequence number.
	headerSize = 1 + 3*8
	// macSize is the size in bytes of the authentication code: the first half of
	// an HMAC-SHA-256.
	macSize = 16
	// version is the first byte of a sealed message.
	version = 1
	// windowSize is the number of a sender's latest sequence numbers within which
	// messages may arrive out of order.
	windowSize = 64
	// maxSenders bounds the sender sessions that are stored: eight incarnations
	// of each instance of a fleet of the target size. When it is exceeded, the
	// Guard changes its own session, so that no recorded message can be
	// replayed, and deletes them all.
	maxSenders = 4096
)

// Session is the random number of one incarnation; 0 is an unknown session.
type Session uint64

// Key is a secret that the instances share. It signs and verifies messages.
type Key [KeySize]byte

// ParseKey decodes a key of KeySize bytes from standard base64. It fails with
// *KeyError.
func ParseKey(text string) (Key, error) {
	var key Key
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return key, &KeyError{Reason: "is not base64"}
	}
	if len(data) != KeySize {
		return key, &KeyError{Reason: fmt.Sprintf("has %d bytes, not %d", len(data), KeySize)}
	}
	copy(key[:], data)
	return key, nil
}

// KeyError reports why a key cannot be used. Its text does not contain the key.
type KeyError struct{ Reason string }

func (e *KeyError) Error() string { return "key " + e.Reason }

// Reason is the reason for which a message is rejected.
type Reason int

// Reasons for which a message is rejected.
const (
	// Malformed means that the message is too short or has another version.
	Malformed Reason = iota
	// Forged means that no key in force signed the message, or that it was
	// altered in transit.
	Forged
	// Replayed means that the message was accepted before, or that its sequence
	// number is older than the window, so that this cannot be determined.
	Replayed
	// Unbound means that the message was sealed for another session. The sender
	// has a key, but the message may be a replay.
	Unbound
)

// Reasons lists the labels of all reasons by value.
var Reasons = []string{"malformed", "forged", "replayed", "unbound"}

func (r Reason) String() string { return Reasons[r] }

// Error reports that a message is rejected.
type Error struct{ Reason Reason }

func (e *Error) Error() string { return e.Reason.String() + " message" }

// Guard seals the messages that one incarnation sends and opens those that it
// receives. It is safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// keys stores the keys in force. The first one signs.
	keys    []Key
	session Session
	// sequence is the sequence number of the last sealed message.
	sequence uint64
	// senders stores the replay window of each sender under its session. All
	// windows are deleted when the own session changes.
	senders map[Session]*window
}

// NewGuard returns a Guard with a random session. Without keys it uses a key of
// zeros, so that anybody can seal messages.
func NewGuard(keys []Key) *Guard {
	g := &Guard{senders: map[Session]*window{}}
	g.SetKeys(keys)
	g.renewSession()
	return g
}

// SetKeys replaces the keys: the first one signs, all are accepted. Without keys a
// key of zeros is used.
func (g *Guard) SetKeys(keys []Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(keys) == 0 {
		keys = []Key{{}}
	}
	g.keys = append([]Key(nil), keys...)
}

// renewSession starts a new session. Messages for the previous one are then
// Unbound.
func (g *Guard) renewSession() {
	var random [8]byte
	for g.session = 0; g.session == 0; {
		_, _ = rand.Read(random[:]) // rand.Read never fails.
		g.session = Session(binary.BigEndian.Uint64(random[:]))
	}
	clear(g.senders)
}

// Seal returns a signed message with a payload for the incarnation with the
// session to.
func (g *Guard) Seal(to Session, payload []byte) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	b := make([]byte, 0, Overhead+len(payload))
	b = append(b, version)
	for _, v := range []uint64{uint64(g.session), uint64(to), g.sequence} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, payload...)
	return append(b, mac(&g.keys[0], b)...)
}

// Open verifies a message and returns the sender's session and the payload, which
// aliases the message. It fails with *Error; with the reason Unbound it returns
// the session and the payload as well.
func (g *Guard) Open(message []byte) (from Session, payload []byte, err error) {
	if len(message) < Overhead || message[0] != version {
		return 0, nil, &Error{Reason: Malformed}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	signed, code := message[:len(message)-macSize], message[len(message)-macSize:]
	if !g.verify(code, signed) {
		return 0, nil, &Error{Reason: Forged}
	}
	from, payload = Session(binary.BigEndian.Uint64(message[1:])), signed[headerSize:]
	if Session(binary.BigEndian.Uint64(message[9:])) != g.session {
		return from, payload, &Error{Reason: Unbound}
	}
	sender := g.senders[from]
	if sender == nil {
		if len(g.senders) >= maxSenders {
			g.renewSession()
			return from, payload, &Error{Reason: Unbound}
		}
		sender = &window{}
		g.senders[from] = sender
	}
	if !sender.accept(binary.BigEndian.Uint64(message[17:])) {
		return 0, nil, &Error{Reason: Replayed}
	}
	return from, payload, nil
}

// Sign returns the authentication code of the parts under the first key. It does
// not prevent replay: the caller includes a nonce in the parts.
func (g *Guard) Sign(parts ...[]byte) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mac(&g.keys[0], joinParts(parts))
}

// Verify tells whether code is the authentication code of the parts under a key in
// force.
func (g *Guard) Verify(code []byte, parts ...[]byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verify(code, joinParts(parts))
}

func (g *Guard) verify(code, signed []byte) bool {
	ok := 0
	for i := range g.keys {
		ok |= subtle.ConstantTimeCompare(code, mac(&g.keys[i], signed))
	}
	return ok == 1
}

// joinParts prefixes each part with its length, so that the boundaries of the parts
// are signed too. The first byte differs from that of sealed messages, so that one
// cannot pass for the other.
func joinParts(parts [][]byte) []byte {
	b := []byte{0}
	for _, part := range parts {
		b = binary.BigEndian.AppendUint32(b, uint32(len(part)))
		b = append(b, part...)
	}
	return b
}

func mac(key *Key, data []byte) []byte {
	h := hmac.New(sha256.New, key[:])
	h.Write(data)
	return h.Sum(nil)[:macSize]
}

// window records which of a sender's latest sequence numbers have been accepted.
type window struct {
	// highest is the highest accepted sequence number.
	highest uint64
	// accepted has one bit for each of the last windowSize sequence numbers: bit
	// n is set when the number highest-n has been accepted.
	accepted uint64
}

// accept records a sequence number. It returns false when the number was accepted
// before or is at least windowSize below the highest one.
func (w *window) accept(sequence uint64) bool {
	if sequence > w.highest {
		w.accepted = w.accepted<<min(sequence-w.highest, windowSize) | 1
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= windowSize || w.accepted&(1<<behind) != 0 {
		return false
	}
	w.accepted |= 1 << behind
	return true
}
