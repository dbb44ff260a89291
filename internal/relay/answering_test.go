package relay

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/chivemast/chivemast/gen/chivemast/relay/v1"
	"github.com/chivemast/chivemast/internal/peerauth"
)

func exampleAnswering() Answering {
	return Answering{Report: 7, PassedOn: true, Answers: []UpstreamAnswer{
		{Upstream: UpstreamIncarnation{ID: "i-4", Born: 10}, Age: 12 * time.Millisecond}, {Upstream: UpstreamIncarnation{ID: "i-5", Born: 11}},
	}}
}

// answeringField is the number of Message.answering.
const answeringField = 20

// Guards against an instance of the previous version that misreads a message because of the
// field answering. Its view is that of a decoder to which the number of the field is unknown.
func TestPreviousVersionIgnoresAnswering(t *testing.T) {
	const unknownField = 1 << 20
	with, without := exampleMessage(), exampleMessage()
	with.Answering = exampleAnswering()
	data, err := with.encode(formatBinary)
	require.NoError(t, err)
	var seen []byte
	found := false
	for len(data) > 0 {
		number, kind, tag := protowire.ConsumeTag(data)
		require.GreaterOrEqual(t, tag, 0)
		size := protowire.ConsumeFieldValue(number, kind, data[tag:])
		require.GreaterOrEqual(t, size, 0)
		if number == answeringField {
			number, found = unknownField, true
		}
		seen = append(protowire.AppendTag(seen, number, kind), data[tag:tag+size]...)
		data = data[tag+size:]
	}
	require.True(t, found)
	decoded, err := decodeMessage(seen)
	require.NoError(t, err)
	without.format = formatBinary
	require.Equal(t, without, decoded)

	inJSON, err := with.encode(formatJSON)
	require.NoError(t, err)
	withoutJSON, err := without.encode(formatJSON)
	require.NoError(t, err)
	require.Equal(t, withoutJSON, inJSON)
}

// Guards against a silence report of the previous version, recorded from it, that is rejected
// or read as a report with a number.
func TestSilenceReportOfThePreviousVersionIsAccepted(t *testing.T) {
	recorded, err := os.ReadFile("testdata/silence_report_without_number.hex")
	require.NoError(t, err)
	data, err := hex.DecodeString(strings.TrimSpace(string(recorded)))
	require.NoError(t, err)
	decoded, err := decodeMessage(data)
	require.NoError(t, err)
	require.Equal(t, &message{From: member(1, "a"), Silent: []UpstreamIncarnation{{ID: "i-1", Born: 7}}, format: formatBinary}, decoded)
	require.Equal(t, KindSilence, decoded.kind())
}

// Guards against answers without an upstream that stop the receiver, and against ages that
// overflow.
func TestMalformedAnswersAreHarmless(t *testing.T) {
	data, err := proto.Marshal(&relayv1.Message{
		Names: []string{"a"}, From: &relayv1.Member{Name: "edge-a-1", Address: []byte{10, 0, 1, 1, 0, 80}},
		Answering: &relayv1.Answering{Answers: []*relayv1.Answer{{}, {AgeMs: 1<<32 - 1}}},
	})
	require.NoError(t, err)
	decoded, err := decodeMessage(data)
	require.NoError(t, err)
	require.Equal(t, []UpstreamAnswer{{}, {Age: 24 * time.Hour}}, decoded.Answering.Answers)
}

// Guards against contradictions that are too large for a datagram, which receivers reject.
func TestContradictionsFitIntoADatagram(t *testing.T) {
	m := &message{From: member(1, strings.Repeat("d", 63)), Answering: Answering{Report: 1 << 63, PassedOn: true}}
	m.From.Name = strings.Repeat("n", 63)
	for n := range MaxReportedUpstreams {
		m.Answering.Answers = append(m.Answering.Answers, UpstreamAnswer{
			Upstream: UpstreamIncarnation{ID: fmt.Sprintf("%063d", n), Born: 1768993801216}, Age: 24 * time.Hour,
		})
	}
	data, err := m.encode(formatBinary)
	require.NoError(t, err)
	t.Logf("%d bytes", len(data))
	require.LessOrEqual(t, len(data)+peerauth.Overhead, MaxDatagram)
}

// Guards against contradictions that reach others than the reporter, that a reporter does not
// pass on to its peers, or that cross failure domains.
func TestContradictionsReachTheReporterAndThenAllPeers(t *testing.T) {
	reporter, reporterRecord := startRelay(t, "a-1", "a")
	peer, peerRecord := startRelay(t, "a-2", "a", reporter.cfg.Self.Address)
	other, otherRecord := startRelay(t, "a-3", "a", reporter.cfg.Self.Address)
	_, remoteRecord := startRelay(t, "b-1", "b", reporter.cfg.Self.Address)
	require.Eventually(t, func() bool {
		return len(reporter.Peers()) == 2 && len(peer.Peers()) == 2 && len(other.Peers()) == 2
	}, 5*time.Second, 10*time.Millisecond)
	received := func(r *recorder) []Answering {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.answering
	}
	reply := Answering{Report: 7, Answers: exampleAnswering().Answers}
	peer.Contradict("unknown", 7, reply.Answers)
	// A peer that was only mentioned may read nothing but JSON until it is heard.
	require.Eventually(t, func() bool {
		if len(received(reporterRecord)) == 0 {
			peer.Contradict("a-1", 7, reply.Answers)
		}
		return len(received(reporterRecord)) > 0
	}, 5*time.Second, 50*time.Millisecond)
	require.Equal(t, reply, received(reporterRecord)[0])
	require.Empty(t, received(otherRecord))
	require.Eventually(t, func() bool {
		reporter.PassOn(7, reply.Answers)
		return len(received(peerRecord)) > 0 && len(received(otherRecord)) > 0
	}, 5*time.Second, 50*time.Millisecond)
	require.Equal(t, exampleAnswering(), received(otherRecord)[0])
	require.Empty(t, received(remoteRecord))

	reporter.ReportSilent(9, []UpstreamIncarnation{{ID: "i-1", Born: 7}})
	require.Eventually(t, func() bool {
		otherRecord.mu.Lock()
		defer otherRecord.mu.Unlock()
		return len(otherRecord.reports) == 1 && otherRecord.reports[0] == 9
	}, 5*time.Second, 10*time.Millisecond)
}
