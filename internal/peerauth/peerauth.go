// Package peerauth lets instances accept messages only from holders of a key,
// each once, and only by the incarnation of the receiver that they were meant
// for. Neither clocks, which jump, nor anything that outlives the process is
// needed: each incarnation has a random session number, and a message names the
// sessions of both ends and its place among those of the sender.
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
	// MaxKeys is the number of keys in force: the one that signs, and the one
	// that came before it or comes after it.
	MaxKeys = 2
	// Overhead is the size that a seal adds to a message in bytes.
	Overhead = headerSize + macSize

	// headerSize is that of the version, two sessions and the sequence number.
	headerSize = 1 + 3*8
	// macSize is that of a truncated HMAC-SHA-256, half of its output.
	macSize = 16
	// version is the first byte of a sealed message.
	version = 1
	// windowSize is the number of messages of a sender that may arrive out of
	// order.
	windowSize = 64
	// maxSenders bounds the senders that are remembered, eight incarnations of
	// each instance of the target size. Beyond it the session changes, which
	// forgets all of them safely.
	maxSenders = 4096
)

// Session is the random number of one incarnation; 0 stands for an unknown one.
type Session uint64

// Key is a secret that the instances share.
type Key [KeySize]byte

// ParseKey decodes a key in base64. It fails with *KeyError.
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

// KeyError says why a key cannot be used. It does not contain the key.
type KeyError struct{ Reason string }

func (e *KeyError) Error() string { return "key " + e.Reason }

// Reason says why a message is not accepted.
type Reason int

// Reasons.
const (
	// Malformed: the message is too short or of another version.
	Malformed Reason = iota
	// Forged: no key in force signed it, or it was changed on the way.
	Forged
	// Replayed: it was accepted before, or is too old to tell.
	Replayed
	// Unbound: it is meant for another incarnation. The sender is genuine, but
	// the message may be old.
	Unbound
)

// Reasons are the labels of all reasons, by value.
var Reasons = []string{"malformed", "forged", "replayed", "unbound"}

func (r Reason) String() string { return Reasons[r] }

// Error says that a message is not accepted.
type Error struct{ Reason Reason }

func (e *Error) Error() string { return e.Reason.String() + " message" }

// Guard seals and opens the messages of one incarnation. It is safe for
// concurrent use.
type Guard struct {
	mu       sync.Mutex
	keys     []Key
	session  Session
	sequence uint64
	senders  map[Session]*window
}

// NewGuard returns a guard with a random session. Without keys, anybody can seal
// messages.
func NewGuard(keys []Key) *Guard {
	g := &Guard{senders: map[Session]*window{}}
	g.SetKeys(keys)
	g.renew()
	return g
}

// SetKeys changes the keys: the first one signs, all are accepted.
func (g *Guard) SetKeys(keys []Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(keys) == 0 {
		keys = []Key{{}}
	}
	g.keys = append([]Key(nil), keys...)
}

// renew starts a new session: messages for the one before are unbound.
func (g *Guard) renew() {
	var random [8]byte
	for g.session = 0; g.session == 0; {
		_, _ = rand.Read(random[:]) // It never fails.
		g.session = Session(binary.BigEndian.Uint64(random[:]))
	}
	clear(g.senders)
}

// Seal returns a message for one incarnation.
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

// Open returns the payload of a message and the sender's session. It fails with
// *Error; for an unbound message it returns both as well.
func (g *Guard) Open(message []byte) (from Session, payload []byte, err error) {
	if len(message) < Overhead || message[0] != version {
		return 0, nil, &Error{Reason: Malformed}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	signed, sum := message[:len(message)-macSize], message[len(message)-macSize:]
	if !g.verify(sum, signed) {
		return 0, nil, &Error{Reason: Forged}
	}
	from, payload = Session(binary.BigEndian.Uint64(message[1:])), signed[headerSize:]
	if Session(binary.BigEndian.Uint64(message[9:])) != g.session {
		return from, payload, &Error{Reason: Unbound}
	}
	sender := g.senders[from]
	if sender == nil {
		if len(g.senders) >= maxSenders {
			g.renew()
			return from, payload, &Error{Reason: Unbound}
		}
		sender = &window{}
		g.senders[from] = sender
	}
	if !sender.take(binary.BigEndian.Uint64(message[17:])) {
		return 0, nil, &Error{Reason: Replayed}
	}
	return from, payload, nil
}

// Sign returns a sum over parts, for an exchange that a nonce makes unique.
func (g *Guard) Sign(parts ...[]byte) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mac(&g.keys[0], join(parts))
}

// Verify tells whether a key in force signed the parts.
func (g *Guard) Verify(sum []byte, parts ...[]byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verify(sum, join(parts))
}

func (g *Guard) verify(sum, signed []byte) bool {
	ok := 0
	for i := range g.keys {
		ok |= subtle.ConstantTimeCompare(sum, mac(&g.keys[i], signed))
	}
	return ok == 1
}

// join puts the length before each part, so that their borders are signed too.
// The first byte keeps the result apart from sealed messages.
func join(parts [][]byte) []byte {
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

// window knows which of a sender's last messages have arrived.
type window struct {
	highest uint64
	// arrived has a bit for each of the last windowSize messages, the highest
	// first.
	arrived uint64
}

// take records a sequence number; false when it was taken before or is too old
// to tell.
func (w *window) take(sequence uint64) bool {
	if sequence > w.highest {
		w.arrived = w.arrived<<min(sequence-w.highest, windowSize) | 1
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= windowSize || w.arrived&(1<<behind) != 0 {
		return false
	}
	w.arrived |= 1 << behind
	return true
}
