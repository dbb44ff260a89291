package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
)

// MaxDatagram is the largest size of a sealed message in bytes. SendUpdate sends a
// larger update without its events; a list of members is shortened.
const MaxDatagram = 1400

// MaxReportedUpstreams is the largest number of upstreams that the caller may pass
// to ReportSilent, ReportLost, Contradict or PassOn. That many fit into a message of MaxDatagram bytes
// even with the longest names; the receivers may reject a longer report.
const MaxReportedUpstreams = 12

// maxReplaced is the largest number of earlier incarnations, and that of missing upstreams,
// in one answer. If there are more, each answer has others at random.
const maxReplaced = 12

// MessageKind is the kind of a message between instances, for the counters.
type MessageKind int

// Kinds of messages. KindState and KindFlows are bodies of HTTP requests or responses,
// the others are datagrams.
const (
	// KindUnreadable: a received datagram that is not authentic or malformed.
	KindUnreadable MessageKind = iota
	// KindHello: asks for a list of members.
	KindHello
	// KindMembers: a list of members.
	KindMembers
	// KindAnnouncement: tells which state the sender holds, or that it lacks some.
	KindAnnouncement
	// KindUpdate: changes from the store.
	KindUpdate
	// KindConfirmation: an update without changes.
	KindConfirmation
	// KindSilence: upstreams that do not answer probes.
	KindSilence
	// KindLoss: upstreams that lost requests.
	KindLoss
	// KindLoad: response times.
	KindLoad
	// KindAnswering: upstreams that answer although another instance found them silent.
	KindAnswering
	// KindState: the whole state of a kind of data.
	KindState
	// KindFlows: flow records of an instance that shuts down.
	KindFlows
)

// MessageKindLabels holds the label of each kind, indexed by MessageKind.
var MessageKindLabels = []string{
	"unreadable", "hello", "members", "announcement", "update", "confirmation", "silence", "loss", "load", "answering", "state", "flows",
}

func (k MessageKind) String() string { return MessageKindLabels[k] }

// kind returns the kind of a message.
func (m *message) kind() MessageKind {
	switch {
	case m.Update != nil && len(m.Update.Events) > 0:
		return KindUpdate
	case m.Update != nil:
		return KindConfirmation
	case len(m.Silent) > 0:
		return KindSilence
	case len(m.Lost) > 0:
		return KindLoss
	case m.Loads != nil:
		return KindLoad
	case len(m.Answering.Answers) > 0:
		return KindAnswering
	case m.Hello:
		return KindHello
	case len(m.Members) > 0:
		return KindMembers
	}
	return KindAnnouncement
}

// LoadReport is what an instance reports on response times and requests in flight: to peers
// the answers that it has seen, what other failure domains have reported and its own requests
// in flight, to others the estimate of its failure domain.
type LoadReport struct {
	Services []load.Report
	Remote   []load.RemoteReport
	// InFlight is nil when the sender does not report its requests in flight, and empty when
	// it has none.
	InFlight inflight.Report
}

// Member identifies an instance of the fleet.
type Member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"domain"`
	// Address is the IPv4 address and port at which the instance receives
	// messages over UDP and HTTP requests over TCP.
	Address netip.AddrPort `json:"address"`
}

// Answering lists upstreams that answer instances although another one found them silent.
type Answering struct {
	// Report is the number that the instance which found them silent gave to its report; 0
	// from versions without numbers.
	Report  uint64
	Answers []UpstreamAnswer
	// PassedOn is false in the reply to a report, and true when the reporter itself tells its
	// peers.
	PassedOn bool
}

// UpstreamAnswer is the answer of an upstream to an instance.
type UpstreamAnswer struct {
	Upstream UpstreamIncarnation
	// Age is the time from the answer to the sending of the message, in whole milliseconds.
	Age time.Duration
}

// Past is what the store no longer shows, for an instance that has started since.
type Past struct {
	// Replaced lists earlier incarnations of upstreams that have started again under
	// their ids.
	Replaced []UpstreamIncarnation
	// Missing lists upstreams whose entries are missing from the store.
	Missing []catalog.MissingUpstream
	// EndedEvacuations lists evacuations that ended a moment ago.
	EndedEvacuations []catalog.EndedEvacuation
}

// message is the payload of a datagram between instances.
type message struct {
	From Member
	// Hello asks the receiver to answer with the members that it knows.
	Hello bool
	// Members lists instances that the sender's membership contains.
	Members []mention
	// Announcement tells the receiver which state it can fetch from the sender. A
	// receiver that lacks state, or holds a later one, answers with its own positions.
	Announcement bool
	// Positions is the state that the sender holds; nil from a version that does not
	// report it.
	Positions *Positions
	// Past is set in the answer to a hello.
	Past
	// Update is a change, or the confirmation of a revision, that the sender
	// received from the store.
	Update *catalogsync.Update
	// Silent lists upstreams that did not answer the sender's probes or that
	// the probes found gone.
	Silent []UpstreamIncarnation
	// Answering contradicts reports of silent upstreams, or has the number of the report in
	// Silent.
	Answering Answering
	// Lost lists upstreams that left a request of the sender's callers without
	// an answer; an upstream is listed once for each such request.
	Lost []UpstreamIncarnation
	// Loads is what the sender reports on response times; nil for a message without such
	// a report.
	Loads *LoadReport
	// format is the format of a received message.
	format format
}

// format is the encoding of a message.
type format int

const (
	// formatJSON is what every version can read. Versions that read nothing else do
	// not report positions.
	formatJSON format = iota
	// formatBinary is a relayv1.Message.
	formatBinary
)

// senderFormat returns the format that the sender of a message can read: the one that it
// used, and the binary one if it reports positions.
func (m *message) senderFormat() format {
	if m.Positions != nil {
		return formatBinary
	}
	return m.format
}

// encode returns the message in a format.
func (m *message) encode(f format) ([]byte, error) {
	if f == formatJSON {
		return m.encodeJSON()
	}
	return m.encodeBinary()
}

// decodeMessage decodes a message in either format. It fails with *MessageError.
func decodeMessage(data []byte) (*message, error) {
	decode := decodeBinary
	if len(data) > 0 && data[0] == '{' {
		decode = decodeJSON
	}
	m, err := decode(data)
	if err != nil {
		return nil, &MessageError{Err: err}
	}
	if m.From.Name == "" || m.From.FailureDomain == "" || !m.From.Address.IsValid() {
		return nil, &MessageError{Err: errSenderIncomplete}
	}
	return m, nil
}

// mention is a member in another instance's list.
type mention struct {
	Member
	// HeardMS is the time in ms since an instance last heard the member; nil from a
	// version that does not report it.
	HeardMS *int64 `json:"heard_ms,omitempty"`
}

// UpstreamIncarnation identifies one incarnation of an upstream.
type UpstreamIncarnation struct {
	ID string `json:"id"`
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64 `json:"born"`
}

// RemoteError stands for the error in a received event: the reason for which an
// upstream or the configuration is invalid. Only its text is transferred.
type RemoteError struct{ Reason string }

func (e *RemoteError) Error() string { return e.Reason }

// MessageError reports that a message from another instance is malformed.
type MessageError struct{ Err error }

func (e *MessageError) Error() string {
	return fmt.Sprintf("malformed message from another instance: %v", e.Err)
}

// Unwrap returns the error that made the message unusable.
func (e *MessageError) Unwrap() error { return e.Err }

var errSenderIncomplete = errors.New("sender lacks a name, a failure domain or a valid address")
