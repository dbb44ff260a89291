package peerauth

import (
	"bytes"
	"encoding/base64"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func key(n byte) Key { return Key(bytes.Repeat([]byte{n}, KeySize)) }

func reasonOf(t *testing.T, err error) Reason {
	t.Helper()
	var failed *Error
	require.True(t, errors.As(err, &failed), "%v", err)
	return failed.Reason
}

// Guards against accepting a message that is signed with another key, damaged,
// truncated, or replayed.
func TestOnlyAuthenticMessagesAreAcceptedOnce(t *testing.T) {
	a, b, otherKey := NewGuard([]Key{key(1)}), NewGuard([]Key{key(1)}), NewGuard([]Key{key(2)})
	message := a.Seal(b.session, []byte("hello"))
	require.Len(t, message, Overhead+5)
	for i := range message {
		damaged := bytes.Clone(message)
		damaged[i] ^= 0x10
		_, _, err := b.Open(damaged)
		require.Error(t, err, "byte %d", i)
	}
	from, payload, err := b.Open(message)
	require.NoError(t, err)
	require.Equal(t, a.session, from)
	require.Equal(t, "hello", string(payload))
	_, _, err = b.Open(message)
	require.Equal(t, Replayed, reasonOf(t, err))
	_, _, err = b.Open(otherKey.Seal(b.session, []byte("hello")))
	require.Equal(t, Forged, reasonOf(t, err))
	for n := range Overhead {
		_, _, err = b.Open(message[:n])
		require.Equal(t, Malformed, reasonOf(t, err))
	}
}

// Guards against accepting a message for an earlier incarnation of the receiver:
// the present one cannot know whether the message was accepted before.
func TestMessageForAnotherIncarnationIsUnbound(t *testing.T) {
	a, before, after := NewGuard([]Key{key(1)}), NewGuard([]Key{key(1)}), NewGuard([]Key{key(1)})
	message := a.Seal(before.session, []byte("x"))
	from, payload, err := after.Open(message)
	require.Equal(t, Unbound, reasonOf(t, err))
	require.Equal(t, a.session, from)
	require.Equal(t, "x", string(payload))
	_, _, err = after.Open(a.Seal(0, nil))
	require.Equal(t, Unbound, reasonOf(t, err), "the sender does not know the session yet")
}

// Guards against rejecting messages that arrive out of order, and against accepting
// replayed ones within the window or before it.
func TestMessagesMayArriveOutOfOrder(t *testing.T) {
	a, b := NewGuard(nil), NewGuard(nil)
	var messages [][]byte
	for range windowSize + 2 {
		messages = append(messages, a.Seal(b.session, nil))
	}
	for _, n := range []int{1, 0, windowSize + 1, 2, 3, windowSize} {
		_, _, err := b.Open(messages[n])
		require.NoError(t, err, "message %d", n)
	}
	for _, n := range []int{0, 1, 2, 3, windowSize, windowSize + 1} {
		_, _, err := b.Open(messages[n])
		require.Equal(t, Replayed, reasonOf(t, err), "message %d", n)
	}
}

// Guards against a key rotation during which instances with the old settings and
// instances with the new ones reject each other's messages.
func TestKeyRotationKeepsInstancesConnected(t *testing.T) {
	steps := [][]Key{{key(1)}, {key(1), key(2)}, {key(2), key(1)}, {key(2)}}
	for n := 1; n < len(steps); n++ {
		oldSettings, newSettings := NewGuard(steps[n-1]), NewGuard([]Key{key(9)})
		newSettings.SetKeys(steps[n])
		_, _, err := newSettings.Open(oldSettings.Seal(newSettings.session, nil))
		require.NoError(t, err, "step %d", n)
		_, _, err = oldSettings.Open(newSettings.Seal(oldSettings.session, nil))
		require.NoError(t, err, "step %d", n)
	}
	old, last := NewGuard(steps[0]), NewGuard(steps[3])
	_, _, err := last.Open(old.Seal(last.session, nil))
	require.Equal(t, Forged, reasonOf(t, err), "the key has been removed")
}

// Guards against memory that grows with every incarnation of the senders, and
// against accepting replays after the senders' windows are deleted.
func TestSendersAreBounded(t *testing.T) {
	b := NewGuard(nil)
	first := NewGuard(nil).Seal(b.session, nil)
	_, _, err := b.Open(first)
	require.NoError(t, err)
	for range maxSenders {
		_, _, err = b.Open(NewGuard(nil).Seal(b.session, nil))
	}
	require.Equal(t, Unbound, reasonOf(t, err))
	require.Empty(t, b.senders)
	_, _, err = b.Open(first)
	require.Equal(t, Unbound, reasonOf(t, err))
}

// Guards against an authentication code that is valid for parts with other
// boundaries, under another key, or when it is missing.
func TestSignatureCoversPartBoundaries(t *testing.T) {
	g := NewGuard([]Key{key(1)})
	code := g.Sign([]byte("ab"), []byte("c"))
	require.True(t, g.Verify(code, []byte("ab"), []byte("c")))
	require.False(t, g.Verify(code, []byte("a"), []byte("bc")))
	require.False(t, g.Verify(nil, []byte("ab"), []byte("c")))
	require.False(t, NewGuard(nil).Verify(code, []byte("ab"), []byte("c")))
}

// Guards against accepting a key of the wrong length or encoding, and against an
// error that contains the key.
func TestMalformedKeysAreRejected(t *testing.T) {
	good := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, KeySize))
	parsed, err := ParseKey(good)
	require.NoError(t, err)
	require.Equal(t, key(7), parsed)
	for _, text := range []string{"", "secret!", good[:20], good + good} {
		_, err := ParseKey(text)
		var failed *KeyError
		require.ErrorAs(t, err, &failed)
		if text != "" {
			require.NotContains(t, err.Error(), text)
		}
	}
}

// Guards against a message of any bytes that makes Open panic or return a payload
// of the wrong size.
func FuzzOpen(f *testing.F) {
	a, b := NewGuard(nil), NewGuard(nil)
	f.Add(a.Seal(b.session, []byte("x")))
	f.Add([]byte{version})
	f.Fuzz(func(t *testing.T, message []byte) {
		_, payload, err := b.Open(message)
		if err == nil {
			require.Len(t, payload, len(message)-Overhead)
		}
	})
}

// BenchmarkSealAndOpen measures sealing and opening a message with a payload of 300
// bytes and two keys; the receiver tries both.
func BenchmarkSealAndOpen(b *testing.B) {
	x, y := NewGuard([]Key{key(1), key(2)}), NewGuard([]Key{key(2), key(1)})
	payload := make([]byte, 300)
	for b.Loop() {
		if _, _, err := y.Open(x.Seal(y.session, payload)); err != nil {
			b.Fatal(err)
		}
	}
}
