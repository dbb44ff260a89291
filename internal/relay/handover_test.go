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

func flowState(port uint16) forward.FlowState {
	return forward.FlowState{
		Flow: forward.Flow{
			Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port),
			Service: netip.MustParseAddrPort("198.18.0.1:443"),
		},
		Cookie: 0xfedc0123, Ack: 1 << 31, Sent: 77, Idle: 1500 * time.Millisecond,
	}
}

// Pattern: instances restart one after the other. Guards against flows that
// nobody remembers, against a mate that leaves itself, and against flows that
// change on the way.
func TestLeavingInstanceHandsItsFlowsOver(t *testing.T) {
	mate, record := startRelay(t, "a-1", "a")
	serve(t, mate)
	leaving, _ := startRelay(t, "a-2", "a", mate.cfg.Self.Address)
	_, err := leaving.HandOver(t.Context(), nil)
	if err != nil {
		require.ErrorIs(t, err, ErrNoMate)
	}
	require.Eventually(t, func() bool { return len(leaving.Mates()) == 1 }, 5*time.Second, 10*time.Millisecond)

	flows := []forward.FlowState{flowState(1024), flowState(65535)}
	to, err := leaving.HandOver(t.Context(), flows)
	require.NoError(t, err)
	require.Equal(t, "a-1", to.Name)
	record.mu.Lock()
	require.Equal(t, flows, record.flows)
	record.leaving = true
	record.mu.Unlock()
	_, err = leaving.HandOver(t.Context(), flows)
	require.ErrorIs(t, err, ErrNotTaken)
}

// Guards against a message of any length, against one that ends early, and
// against other methods.
func TestMalformedFlowsChangeNothing(t *testing.T) {
	mate, record := startRelay(t, "a-1", "a")
	serve(t, mate)
	url := "http://" + mate.cfg.Self.Address.String() + flowsPath
	sender, _ := startRelay(t, "a-2", "a", mate.cfg.Self.Address)
	require.Eventually(t, func() bool { return len(sender.Mates()) == 1 }, 5*time.Second, 10*time.Millisecond)
	session := sender.sessionOf(mate.cfg.Self)
	for n, body := range []string{"x", strings.Repeat("x", flowSize+1), strings.Repeat("x", (maxFlows+1)*flowSize)} {
		for _, post := range []struct {
			body   []byte
			status int
		}{{[]byte(body), http.StatusForbidden}, {sender.guard.Seal(session, []byte(body)), http.StatusBadRequest}} {
			if n == 2 {
				// A list that is too long is cut, and the rest does not fit its sum.
				post.status = http.StatusForbidden
			}
			response, err := http.Post(url, flowsType, bytes.NewReader(post.body))
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
