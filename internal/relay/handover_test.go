package relay

import (
	"bytes"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/forward"
)

func flowRecord(port uint16) forward.HandoverFlow {
	return forward.HandoverFlow{
		Flow: forward.Flow{
			Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port),
			Service: netip.MustParseAddrPort("198.18.0.1:443"),
		},
		Cookie: 0xfedc0123, Ack: 1 << 31, DataEnd: 77, Idle: 1500 * time.Millisecond,
	}
}

// Guards against flow records that are lost or altered in the handover when
// instances restart one after the other, and against a handover to a peer that is
// shutting down itself.
func TestInstanceHandsOverFlowsAtShutdown(t *testing.T) {
	peer, record := startRelay(t, "a-1", "a")
	serve(t, peer)
	closing, _ := startRelay(t, "a-2", "a", peer.cfg.Self.Address)
	_, err := closing.HandOver(t.Context(), nil)
	if err != nil {
		require.ErrorIs(t, err, ErrNoPeer)
	}
	require.Eventually(t, func() bool { return len(closing.Peers()) == 1 }, 5*time.Second, 10*time.Millisecond)

	flows := []forward.HandoverFlow{flowRecord(1024), flowRecord(65535)}
	to, err := closing.HandOver(t.Context(), flows)
	require.NoError(t, err)
	require.Equal(t, "a-1", to.Name)
	record.mu.Lock()
	require.Equal(t, flows, record.flows)
	record.shuttingDown = true
	record.mu.Unlock()
	_, err = closing.HandOver(t.Context(), flows)
	require.ErrorIs(t, err, ErrHandoverRefused)
}

// Guards against accepting flow records that are too short, too long, truncated
// or unsigned, and against methods other than POST.
func TestMalformedFlowsAreRejected(t *testing.T) {
	peer, record := startRelay(t, "a-1", "a")
	serve(t, peer)
	url := "http://" + peer.cfg.Self.Address.String() + flowsPath
	sender, _ := startRelay(t, "a-2", "a", peer.cfg.Self.Address)
	require.Eventually(t, func() bool { return len(sender.Peers()) == 1 }, 5*time.Second, 10*time.Millisecond)
	session := sender.receiverOf(peer.cfg.Self).session
	for n, body := range []string{"x", strings.Repeat("x", encodedFlowSize+1), strings.Repeat("x", (maxHandoverFlows+1)*encodedFlowSize)} {
		for _, post := range []struct {
			body   []byte
			status int
		}{{[]byte(body), http.StatusForbidden}, {sender.auth.Seal(session, []byte(body)), http.StatusBadRequest}} {
			if n == 2 {
				// The receiver truncates a list that is too long, so its authentication
				// code does not match.
				post.status = http.StatusForbidden
			}
			response, err := http.Post(url, flowsMediaType, bytes.NewReader(post.body))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, post.status, response.StatusCode)
		}
	}
	response, err := http.Get(url)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusMethodNotAllowed, response.StatusCode)
	record.mu.Lock()
	defer record.mu.Unlock()
	require.Empty(t, record.flows)
	require.Equal(t, 6, record.rejected)
}
