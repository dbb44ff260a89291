package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/peerauth"
)

func (r *recorder) count(reason peerauth.Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reasons[reason]
}

// Guards against accepting a report that is forged, damaged, replayed, or meant
// for an earlier incarnation. A sender without the key or a recorder of datagrams
// causes these; each must be counted and change nothing.
func TestForgedDamagedAndReplayedMessagesChangeNothing(t *testing.T) {
	seed, record := startRelay(t, "a-1", "a")
	peer, _ := startRelay(t, "a-2", "a", seed.cfg.Self.Address)
	require.Eventually(t, func() bool { return len(seed.Peers()) == 1 && len(peer.Peers()) == 1 }, 5*time.Second, 10*time.Millisecond)
	report, err := json.Marshal(&message{From: peer.cfg.Self, Silent: []UpstreamIncarnation{{ID: "i-1", Born: 7}}})
	require.NoError(t, err)
	write := func(data []byte) {
		_, err := peer.conn.WriteToUDPAddrPort(data, seed.cfg.Self.Address)
		require.NoError(t, err)
	}
	session := peer.receiverOf(seed.cfg.Self).session
	genuine := peer.auth.Seal(session, report)
	write(genuine)
	write(genuine)
	damaged := peer.auth.Seal(session, report)
	damaged[40]++
	write(damaged)
	write(peerauth.NewAuthenticator([]peerauth.Key{{2}}).Seal(session, report))
	write(report)
	require.Eventually(t, func() bool {
		return record.count(peerauth.Replayed) == 1 && record.count(peerauth.Forged) == 2 && record.count(peerauth.Malformed) == 1
	}, 5*time.Second, 10*time.Millisecond)
	record.mu.Lock()
	require.Len(t, record.silent, 1)
	record.mu.Unlock()

	// A message for an earlier incarnation, as a recorded datagram would be.
	write(peer.auth.Seal(session+1, report))
	require.Eventually(t, func() bool { return record.count(peerauth.WrongSession) == 1 }, 5*time.Second, 10*time.Millisecond)
	record.mu.Lock()
	require.Len(t, record.silent, 1)
	record.mu.Unlock()
}

// Guards against an instance without the key that joins the others, fetches their
// state, hands flow records over to them, or answers their requests for state.
func TestInstanceWithoutKeyIsRejected(t *testing.T) {
	seed, record := startRelay(t, "a-1", "a")
	serve(t, seed)
	unkeyed, unkeyedRecord := startRelay(t, "a-2", "a", seed.cfg.Self.Address)
	unkeyed.SetKeys([]peerauth.Key{{2}})
	_, err := unkeyed.requestState(t.Context(), seed.cfg.Self, catalog.KindEvacuations)
	require.Error(t, err)
	require.Error(t, unkeyed.sendFlows(t.Context(), seed.cfg.Self, []forward.HandoverFlow{flowRecord(1)}))
	require.Eventually(t, func() bool { return record.count(peerauth.Forged) >= 3 }, 5*time.Second, 10*time.Millisecond)
	record.mu.Lock()
	require.Empty(t, record.flows)
	record.mu.Unlock()

	// A response that is signed with another key.
	unkeyed.SetKeys([]peerauth.Key{{1}})
	seed.SetKeys([]peerauth.Key{{2}, {1}})
	_, err = unkeyed.requestState(t.Context(), seed.cfg.Self, catalog.KindEvacuations)
	require.Error(t, err)
	require.Positive(t, unkeyedRecord.count(peerauth.Forged))
}

// Guards against a restarted instance that rejects its peers' messages for good.
// The messages are bound to the session of the earlier incarnation until the peers
// learn the new one.
func TestRestartedInstanceReceivesUpdatesAgain(t *testing.T) {
	template, record := startRelay(t, "a-9", "b")
	cfg := template.cfg
	cfg.Self = Member{Name: "a-1", FailureDomain: "a", Address: unusedAddress(t)}
	run := func() (stop func()) {
		seed, err := Listen(cfg)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- seed.Run(ctx) }()
		return func() { cancel(); require.NoError(t, <-done) }
	}
	stop := run()
	peer, _ := startRelay(t, "a-2", "a", cfg.Self.Address)
	require.Eventually(t, func() bool { return len(peer.Peers()) == 1 }, 5*time.Second, 10*time.Millisecond)
	stop()
	stop = run()
	defer stop()
	require.Eventually(t, func() bool {
		peer.SendUpdate(catalogsync.Update{Kind: catalog.KindEvacuations, Base: 3, Revision: 3})
		record.mu.Lock()
		defer record.mu.Unlock()
		return len(record.updates) > 0
	}, 5*time.Second, 50*time.Millisecond)
}

// Guards against a request for state without an authentication code that is
// answered.
func TestStateRequestNeedsMAC(t *testing.T) {
	seed, _ := startRelay(t, "a-1", "a")
	serve(t, seed)
	response, err := http.Get("http://" + seed.cfg.Self.Address.String() + statePath + catalog.KindEvacuations.String())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusForbidden, response.StatusCode)
}

// Guards against reports of members that this instance has received no message
// from. Mentions by others add and expiry removes them repeatedly: 493 log lines
// on a day of 9 instances, against 60 about members that were heard.
func TestMentionedMembersAreNotReported(t *testing.T) {
	relay, record := startRelay(t, "a-1", "a")
	other, heard := Member{Name: "b-1", FailureDomain: "b", Address: unusedAddress(t)}, Member{Name: "a-2", FailureDomain: "a", Address: unusedAddress(t)}
	relay.recordMessage(time.Now(), &message{From: heard, Members: []mention{{Member: other}, {Member: heard}}}, 7)
	relay.expireMembers(time.Now().Add(2 * memberTimeout))
	record.mu.Lock()
	require.Equal(t, map[string]bool{"a-2": false}, record.found)
	record.mu.Unlock()
	relay.recordMessage(time.Now(), &message{From: heard, Members: []mention{{Member: other}}}, 7)
	relay.recordMessage(time.Now(), &message{From: other}, 8)
	record.mu.Lock()
	defer record.mu.Unlock()
	require.Equal(t, map[string]bool{"a-2": true, "b-1": true}, record.found)
}
