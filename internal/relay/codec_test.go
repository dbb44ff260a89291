package relay

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/chivemast/chivemast/gen/chivemast/relay/v1"
	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
)

// reported returns positions of era 2 with the revisions of all kinds; a kind with
// revision 0 has no state.
func reported(revisions ...uint64) *Positions {
	positions := &Positions{}
	for kind, revision := range revisions {
		if revision > 0 {
			positions[kind] = catalog.Position{Era: 2, Revision: revision}
		}
	}
	return positions
}

func exampleUpstream(n int) catalog.Upstream {
	return catalog.Upstream{
		ID: fmt.Sprintf("i-%010x", n), Born: 1768993801216, Token: 1<<63 + uint64(n), Address: netip.MustParseAddrPort("10.1.64.20:8628"),
		FailureDomain: "sahel-a", Service: "rota-desk", Capacity: 2, Draining: true, ColdFor: 1500 * time.Millisecond, Revision: 9,
	}
}

// exampleUpdate has an event of each type.
func exampleUpdate() catalogsync.Update {
	invalid := &RemoteError{Reason: "field state: unknown"}
	return catalogsync.Update{Kind: catalog.KindUpstreams, Era: 2, Base: 8, Revision: 12, Events: []catalog.Event{
		catalog.UpstreamsListed{Entries: []catalog.UpstreamChange{{Upstream: exampleUpstream(1)}}, Revision: 12},
		catalog.UpstreamsChanged{Revision: 12, Changes: []catalog.UpstreamChange{
			{Upstream: catalog.Upstream{ID: "i-2", Revision: 10}, Removed: true},
			{Upstream: catalog.Upstream{ID: "i-3", Revision: 11}, Invalid: invalid},
		}},
		catalog.ConfigurationRead{Configuration: catalog.Configuration{
			Version: 7, Revision: 3, IdleTimeout: time.Second,
			Routes:   []catalog.Route{{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Split: []catalog.Weight{{Service: "s", Weight: 3}}, Terms: exampleTerms}},
			Services: []catalog.Service{{Name: "s", ColdDuration: time.Second, ColdRate: 2.5, HealthPath: "/health"}},
		}},
		catalog.ConfigurationInvalid{Revision: 4, Err: invalid},
		catalog.EvacuationsListed{Domains: []string{"a"}, Revision: 5},
		catalog.EvacuationsListed{Domains: []string{}, Revision: 6},
		catalog.EvacuationsChanged{Changes: []catalog.EvacuationChange{{FailureDomain: "b", Ended: true}}, Revision: 6},
	}}
}

var exampleTerms = catalog.Terms{Priority: 1, LatencyGoal: 300 * time.Millisecond, Timeout: 2 * time.Second, Idempotent: true}

func exampleMessage() *message {
	update, heard := exampleUpdate(), int64(1234)
	return &message{
		From: member(1, "a"), Hello: true, Announcement: true, Positions: reported(1, 0, 3), Update: &update,
		Members: []mention{{Member: member(2, "b"), HeardMS: &heard}, {Member: member(3, "a")}},
		Silent:  []UpstreamIncarnation{{ID: "i-1", Born: 7}}, Lost: []UpstreamIncarnation{{ID: "i-2", Born: 8}, {ID: "i-2", Born: 8}},
	}
}

// Guards against a message that changes its meaning when it is encoded and decoded.
func TestMessageRoundTrip(t *testing.T) {
	for _, f := range []format{formatJSON, formatBinary} {
		data, err := exampleMessage().encode(f)
		require.NoError(t, err)
		decoded, err := decodeMessage(data)
		require.NoError(t, err)
		require.Equal(t, f, decoded.format)
		decoded.format = formatJSON
		require.Equal(t, exampleMessage(), decoded)
	}
	m := &message{From: member(1, "a"), format: formatBinary, Past: Past{
		Replaced: []UpstreamIncarnation{{ID: "i-3", Born: 9}}, EndedEvacuations: []catalog.EndedEvacuation{{FailureDomain: "b", Ago: 1500 * time.Millisecond}},
		Missing: []catalog.MissingUpstream{{Upstream: exampleUpstream(2), Ago: 4 * time.Second}},
	}, Answering: exampleAnswering(), Loads: &LoadReport{
		Services: []load.Report{{Service: "s", Answers: 12.3, MeanMS: 45.6}},
		Remote: []load.RemoteReport{
			{Domain: "b", Service: "s", MeanMS: 30.5, Age: 120 * time.Millisecond}, {Domain: "c", Age: time.Second},
		},
		InFlight: inflight.Report{{Key: 0x1234, Eighths: 9}},
	}}
	data, err := m.encode(formatBinary)
	require.NoError(t, err)
	decoded, err := decodeMessage(data)
	require.NoError(t, err)
	require.Equal(t, m, decoded)
}

// Guards against a report without requests that is taken for one of an earlier version, and
// against a message of which a part counts although its report is malformed.
func TestReportOfRequestsInFlightIsPresentOrRejected(t *testing.T) {
	for _, report := range []inflight.Report{nil, {}} {
		data, err := (&message{From: member(1, "a"), Loads: &LoadReport{InFlight: report}}).encode(formatBinary)
		require.NoError(t, err)
		decoded, err := decodeMessage(data)
		require.NoError(t, err)
		require.Equal(t, report, decoded.Loads.InFlight)
	}
	data, err := proto.Marshal(&relayv1.Message{
		Names: []string{"a"}, From: &relayv1.Member{Name: "edge-a-1", Address: []byte{10, 0, 1, 1, 0, 80}},
		Loads: &relayv1.Loads{InFlight: []byte{1, 2}},
	})
	require.NoError(t, err)
	_, err = decodeMessage(data)
	var malformed *inflight.FormatError
	require.ErrorAs(t, err, &malformed)
}

// Guards against control traffic that grows with the failure domain, and against peers that
// receive no report on requests in flight within the intervals for which one counts.
func TestReportsOfRequestsInFlightReachAllPeersWithinTheBudget(t *testing.T) {
	for _, peers := range []int{9, 24, 70, 125} {
		m := newMembership(member(0, "a"))
		for n := 1; n <= peers; n++ {
			state := memberState{member: member(n, "a"), lastHeard: start, session: 7, format: formatBinary}
			m.byName[state.member.Name] = state
		}
		const size, intervals = 120, 3
		received, sent := map[string]bool{}, 0
		for range intervals {
			for _, receiver := range m.inFlightReceivers(start, size) {
				received[receiver.Name] = true
				sent += size
			}
		}
		perSecond := float64(sent) / (intervals * inflight.IntervalFor(peers).Seconds())
		t.Logf("%d peers: %.0f bytes/s to %d peers", peers, perSecond, len(received))
		require.Len(t, received, peers)
		if peers > inflight.IntervalPeers {
			require.LessOrEqual(t, perSecond, 4000.0)
		}
	}
}

// Guards against a change of a type that only a later version knows and that is lost while
// the revision of its update counts. The update is rejected, so that the next one shows a
// gap.
func TestUpdateWithUnknownEventIsRejected(t *testing.T) {
	data, err := proto.Marshal(&relayv1.Message{
		Names: []string{"a"}, From: &relayv1.Member{Name: "edge-a-1", Address: []byte{10, 0, 1, 1, 0, 80}},
		Update: &relayv1.Update{Base: 1, Revision: 2, Events: []*relayv1.Event{{Revision: 2}}},
	})
	require.NoError(t, err)
	_, err = decodeMessage(data)
	var rejected *MessageError
	require.ErrorAs(t, err, &rejected)
	require.ErrorIs(t, err, errUnknownEvent)
}

// Guards against members that seem to lack state because a message of theirs reports no
// revisions: all instances then announced their state all the time, 4 MB on a day of 24
// instances.
func TestMessageWithoutRevisionsDoesNotReportLack(t *testing.T) {
	m := newMembership(member(0, "a"))
	receive := func(now time.Time, sent *message) {
		data, err := sent.encode(formatBinary)
		require.NoError(t, err)
		received, err := decodeMessage(data)
		require.NoError(t, err)
		m.receive(now, received, 7, *reported(1, 1, 1))
	}
	receive(start, &message{From: member(1, "a"), Positions: reported(1, 1, 1)})
	for n := range 10 {
		receive(start.Add(time.Duration(n)*lackingAfter), &message{From: member(1, "a"), Silent: []UpstreamIncarnation{{ID: "i"}}})
	}
	require.Zero(t, m.lacking(start.Add(10*lackingAfter)))
	require.Zero(t, m.announceUntil)
	require.Equal(t, formatBinary, m.byName["edge-a-1"].format)
}

// Guards against a state that changes its meaning when it is encoded and decoded.
func TestStateRoundTrip(t *testing.T) {
	heard := int64(5)
	members := []mention{{Member: member(2, "b"), HeardMS: &heard}}
	data, err := encodeState(exampleUpdate(), 2*time.Second, members)
	require.NoError(t, err)
	update, age, decodedMembers, err := decodeState(data)
	require.NoError(t, err)
	require.Equal(t, exampleUpdate(), update)
	require.Equal(t, 2*time.Second, age)
	require.Equal(t, members, decodedMembers)

	data, err = json.Marshal(jsonState{Update: encodeUpdate(exampleUpdate()), AgeMS: 2000})
	require.NoError(t, err)
	update, age, _, err = decodeJSONState(data)
	require.NoError(t, err)
	require.Equal(t, exampleUpdate(), update)
	require.Equal(t, 2*time.Second, age)
}

// Guards against changes of upstreams that fill the links of watchers: in JSON, one took
// 585 bytes.
func TestSizeOfChange(t *testing.T) {
	const changes, maxBytes = 16, 64
	update := catalogsync.Update{Kind: catalog.KindUpstreams, Base: 100_000, Revision: 100_016}
	changed := catalog.UpstreamsChanged{Revision: 100_016}
	for n := range changes {
		u := exampleUpstream(n)
		u.Revision = 100_000 + uint64(n)
		changed.Changes = append(changed.Changes, catalog.UpstreamChange{Upstream: u})
	}
	update.Events = []catalog.Event{changed}
	data, err := (&message{From: member(1, "a"), Update: &update}).encode(formatBinary)
	require.NoError(t, err)
	t.Logf("%d bytes for %d changes", len(data), changes)
	require.LessOrEqual(t, len(data)/changes, maxBytes)
	require.Less(t, len(data), MaxDatagram)
}

// Guards against a malformed message that makes a decoder panic, fail with another error
// than *MessageError, or return an update whose revision decreases.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"from":{"name":"x","domain":"a","address":"10.0.0.1:80"},"update":{"kind":0,"base":1,"revision":2,"events":[{}]}}`))
	f.Add([]byte(`{"from":{"name":"x","domain":"a","address":"10.0.0.1:80"},"update":{"kind":-1,"base":9,"revision":2}}`))
	f.Add([]byte(`{"from":{}}`))
	for _, format := range []format{formatJSON, formatBinary} {
		data, err := exampleMessage().encode(format)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			var rejected *MessageError
			require.ErrorAs(t, err, &rejected)
			return
		}
		if m.Update != nil {
			require.LessOrEqual(t, m.Update.Base, m.Update.Revision)
		}
	})
}

// Guards against a malformed state that makes the decoder panic or fail with another
// error than *MessageError.
func FuzzState(f *testing.F) {
	data, err := encodeState(exampleUpdate(), time.Second, nil)
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, _, _, err := decodeState(data); err != nil {
			var rejected *MessageError
			require.ErrorAs(t, err, &rejected)
		}
	})
}

// Guards against an instance of an earlier version, which reads JSON only, that receives
// messages that it cannot read during a roll-out: hellos, updates, reports and state.
func TestEarlierVersionReceivesJSON(t *testing.T) {
	m := newMembership(member(0, "a"))
	hello, err := (&message{From: member(1, "a"), Hello: true}).encode(formatJSON)
	require.NoError(t, err)
	received, err := decodeMessage(hello)
	require.NoError(t, err)
	m.receive(start, received, 7, *reported(1, 1, 1))
	require.Equal(t, formatJSON, m.byName["edge-a-1"].format)
	require.Equal(t, []Member{member(1, "a")}, m.stateSources(catalog.KindUpstreams, catalog.Position{}), "it may be asked for its state")

	current, err := (&message{From: member(2, "a"), Hello: true, Positions: &Positions{}}).encode(formatJSON)
	require.NoError(t, err)
	received, err = decodeMessage(current)
	require.NoError(t, err)
	m.receive(start, received, 8, *reported(1, 1, 1))
	require.Equal(t, formatBinary, m.byName["edge-a-2"].format, "the first hello of this version is JSON as well")

	m.receive(start, &message{From: member(2, "a")}, 8, *reported(1, 1, 1))
	require.Equal(t, formatBinary, m.byName["edge-a-2"].format, "a later JSON message without revisions changes nothing")
	m.receive(start, &message{From: member(2, "a")}, 9, *reported(1, 1, 1))
	require.Equal(t, formatJSON, m.byName["edge-a-2"].format, "the next incarnation may be an earlier version")
}

// Guards against revisions of a version without eras that count as later than those of
// a store that was restored.
func TestVersionWithoutErasIsBehindEveryEra(t *testing.T) {
	withoutEras, err := proto.Marshal(&relayv1.Message{
		Names: []string{"a"}, From: &relayv1.Member{Name: "edge-a-1", Address: []byte{10, 0, 1, 1, 0, 80}},
		Revisions: []uint64{90, 90, 90}, Update: &relayv1.Update{Base: 90, Revision: 90},
	})
	require.NoError(t, err)
	for _, data := range [][]byte{
		withoutEras, []byte(`{"from":{"name":"edge-a-1","domain":"a","address":"10.0.1.1:80"},"revisions":[90,90,90],"update":{"kind":0,"base":90,"revision":90}}`),
	} {
		received, err := decodeMessage(data)
		require.NoError(t, err)
		require.Zero(t, received.Update.Era)
		m := newMembership(member(0, "a"))
		m.receive(start, received, 7, *reported(5, 5, 5))
		require.Empty(t, m.stateSources(catalog.KindUpstreams, catalog.Position{Era: 2, Revision: 5}))
		require.Len(t, m.stateSources(catalog.KindUpstreams, catalog.Position{}), 1, "an instance without state takes any")
	}
}

// Guards against an instance that stops watching a restored store because members that
// have not noticed the restoration go on confirming their state.
func TestMemberOfEarlierEraDoesNotCountAsWatcher(t *testing.T) {
	relay, record := startRelay(t, "a-9", "a")
	for n, era := range []uint64{1, 1, 2, 3} {
		sender := member(n, "a")
		relay.handleMessage(time.Now(), &message{From: sender, Update: &catalogsync.Update{Kind: catalog.KindEvacuations, Era: era, Revision: 9}}, 7)
	}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	var watching []string
	for name, state := range relay.membership.byName {
		if !state.watched[catalog.KindEvacuations].IsZero() {
			watching = append(watching, name)
		}
	}
	require.ElementsMatch(t, []string{"edge-a-2", "edge-a-3"}, watching)
	record.mu.Lock()
	defer record.mu.Unlock()
	require.Len(t, record.updates, 4)
}

// Guards against lists of members that take a large part of a link: with the names of
// the users' largest deployment, 12 members took 1.2 KB in JSON.
func TestSizeOfMemberList(t *testing.T) {
	heard := int64(12_345)
	m := &message{From: member(1, "sunshine"), Positions: reported(100_000, 100_000, 100_000)}
	for n := range maxMembersPerMessage {
		m.Members = append(m.Members, mention{Member: member(100+n, "sunshine"), HeardMS: &heard})
	}
	data, err := m.encode(formatBinary)
	require.NoError(t, err)
	t.Logf("%d bytes", len(data))
	require.Less(t, len(data), 600)
}

// Guards against routes with the highest priority because the sender's version does not
// report their terms.
func TestRouteWithoutTermsHasDefaults(t *testing.T) {
	const update = `{"kind":1,"revision":3,"events":[{"configuration":{"Version":7,"Revision":3,"Routes":[{"Name":"r","Address":"198.18.0.1:443"}]}}]}`
	m, err := decodeMessage([]byte(`{"from":{"name":"i","domain":"a","address":"10.0.0.1:1"},"update":` + update + `}`))
	require.NoError(t, err)
	require.Equal(t, catalog.DefaultTerms(), m.Update.Events[0].(catalog.ConfigurationRead).Configuration.Routes[0].Terms)
	require.Equal(t, catalog.DefaultTerms(), decodeTerms(&relayv1.Route{Name: "r", Idempotent: true}))
}
