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
	"hash"
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
	// Authenticator changes its own session, so that no recorded message can be
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
	// WrongSession means that the message was sealed for another session. The sender
	// has a key, but the message may be a replay.
	WrongSession
)

// Reasons lists the labels of all reasons by value.
var Reasons = []string{"malformed", "forged", "replayed", "unbound"}

func (r Reason) String() string { return Reasons[r] }

// Error reports that a message is rejected.
type Error struct{ Reason Reason }

func (e *Error) Error() string { return e.Reason.String() + " message" }

// Authenticator seals the messages that one incarnation sends and opens those that it
// receives. It is safe for concurrent use.
type Authenticator struct {
	mu sync.Mutex
	// macs computes the authentication codes under the keys in force, one for each. The
	// first one signs. Reusing them saves hashing the key for each message.
	macs    []hash.Hash
	session Session
	// sum is a buffer for the codes that verify computes.
	sum [sha256.Size]byte
	// sequence is the sequence number of the last sealed message.
	sequence uint64
	// senders stores the replay window of each sender under its session. All
	// windows are deleted when the own session changes.
	senders map[Session]*window
}

// NewAuthenticator returns an Authenticator with a random session. Without keys it
// uses a key of zeros, so that anybody can seal messages.
func NewAuthenticator(keys []Key) *Authenticator {
	a := &Authenticator{senders: map[Session]*window{}}
	a.SetKeys(keys)
	a.renewSession()
	return a
}

// SetKeys replaces the keys: the first one signs, all are accepted. Without keys a
// key of zeros is used.
func (a *Authenticator) SetKeys(keys []Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(keys) == 0 {
		keys = []Key{{}}
	}
	a.macs = nil
	for _, key := range keys {
		a.macs = append(a.macs, hmac.New(sha256.New, key[:]))
	}
}

// renewSession starts a new session. Messages for the previous one then fail with
// WrongSession.
func (a *Authenticator) renewSession() {
	var random [8]byte
	for a.session = 0; a.session == 0; {
		_, _ = rand.Read(random[:]) // rand.Read never fails.
		a.session = Session(binary.BigEndian.Uint64(random[:]))
	}
	clear(a.senders)
}

// Seal returns a signed message with a payload for the incarnation with the
// session to.
func (a *Authenticator) Seal(to Session, payload []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	// appendMAC needs room for the whole sum.
	b := make([]byte, 0, Overhead+len(payload)+sha256.Size-macSize)
	b = append(b, version)
	for _, v := range []uint64{uint64(a.session), uint64(to), a.sequence} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, payload...)
	return a.appendMAC(b, 0, b)
}

// Open verifies a message and returns the sender's session and the payload, which
// aliases the message. It fails with *Error; with the reason WrongSession it returns
// the session and the payload as well.
func (a *Authenticator) Open(message []byte) (from Session, payload []byte, err error) {
	if len(message) < Overhead || message[0] != version {
		return 0, nil, &Error{Reason: Malformed}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	signed, code := message[:len(message)-macSize], message[len(message)-macSize:]
	if !a.verify(code, signed) {
		return 0, nil, &Error{Reason: Forged}
	}
	from, payload = Session(binary.BigEndian.Uint64(message[1:])), signed[headerSize:]
	if Session(binary.BigEndian.Uint64(message[9:])) != a.session {
		return from, payload, &Error{Reason: WrongSession}
	}
	sender := a.senders[from]
	if sender == nil {
		if len(a.senders) >= maxSenders {
			a.renewSession()
			return from, payload, &Error{Reason: WrongSession}
		}
		sender = &window{}
		a.senders[from] = sender
	}
	if !sender.accept(binary.BigEndian.Uint64(message[17:])) {
		return 0, nil, &Error{Reason: Replayed}
	}
	return from, payload, nil
}

// Sign returns the authentication code of the parts under the first key. It does
// not prevent replay: the caller includes a nonce in the parts.
func (a *Authenticator) Sign(parts ...[]byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.appendMAC(nil, 0, joinParts(parts))
}

// Verify tells whether code is the authentication code of the parts under a key in
// force.
func (a *Authenticator) Verify(code []byte, parts ...[]byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.verify(code, joinParts(parts))
}

func (a *Authenticator) verify(code, signed []byte) bool {
	ok := 0
	for i := range a.macs {
		ok |= subtle.ConstantTimeCompare(code, a.appendMAC(a.sum[:0], i, signed))
	}
	return ok == 1
}

// appendMAC appends the authentication code of data under a key to b.
func (a *Authenticator) appendMAC(b []byte, key int, data []byte) []byte {
	mac := a.macs[key]
	mac.Reset()
	mac.Write(data)
	return mac.Sum(b)[:len(b)+macSize]
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
