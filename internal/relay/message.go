package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/load"
)

// MaxDatagram is the largest size of a sealed message in bytes. SendUpdate sends a
// larger update without its events; a list of members is shortened.
const MaxDatagram = 1400

// MaxReportedUpstreams is the largest number of upstreams that the caller may pass
// to ReportSilent or ReportLost. That many fit into a message of MaxDatagram bytes
// even with the longest names; the receivers may reject a longer report.
const MaxReportedUpstreams = 12

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
	// KindState: the whole state of a kind of data.
	KindState
	// KindFlows: flow records of an instance that shuts down.
	KindFlows
)

// MessageKindLabels holds the label of each kind, indexed by MessageKind.
var MessageKindLabels = []string{
	"unreadable", "hello", "members", "announcement", "update", "confirmation", "silence", "loss", "load", "state", "flows",
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
	case m.Hello:
		return KindHello
	case len(m.Members) > 0:
		return KindMembers
	}
	return KindAnnouncement
}

// Member identifies an instance of the fleet.
type Member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"domain"`
	// Address is the IPv4 address and port at which the instance receives
	// messages over UDP and HTTP requests over TCP.
	Address netip.AddrPort `json:"address"`
}

// message is the payload of a datagram between instances, encoded as JSON.
type message struct {
	From Member `json:"from"`
	// Hello asks the receiver to answer with the members that it knows.
	Hello bool `json:"hello,omitempty"`
	// Members lists instances that the sender's membership contains.
	Members []mention `json:"members,omitempty"`
	// Announcement tells the receiver which state it can fetch from the sender. A
	// receiver that lacks state answers with its own revisions.
	Announcement bool `json:"announcement,omitempty"`
	// Revisions is the state that the sender holds; nil from a version that does not
	// report it.
	Revisions *Revisions `json:"revisions,omitempty"`
	// Update is a change, or the confirmation of a revision, that the sender
	// received from the store.
	Update *wireUpdate `json:"update,omitempty"`
	// Silent lists upstreams that did not answer the sender's probes or that
	// the probes found gone.
	Silent []UpstreamIncarnation `json:"silent,omitempty"`
	// Lost lists upstreams that left a request of the sender's callers without
	// an answer; an upstream is listed once for each such request.
	Lost []UpstreamIncarnation `json:"lost,omitempty"`
	// Loads lists what the sender reports on the response times of its failure domain:
	// to peers the answers that it has seen, to others the estimate of the domain; nil
	// for a message without a report.
	Loads *[]load.Report `json:"loads,omitempty"`
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

// wireUpdate is the JSON form of a catalogsync.Update.
type wireUpdate struct {
	Kind     catalog.Kind `json:"kind"`
	Base     uint64       `json:"base"`
	Revision uint64       `json:"revision"`
	Events   []wireEvent  `json:"events,omitempty"`
}

// wireEvent is the JSON form of a catalog event. The field that is set besides
// Revision determines the type of the event. No such field arrives for a
// catalog.EvacuationsListed with nil Domains or a catalog.EvacuationsChanged
// without changes; the receiver drops these events, and the Invalid lists of both
// types are not sent.
type wireEvent struct {
	Listed        *wireUpstreams             `json:"listed,omitempty"`
	Changed       *wireUpstreams             `json:"changed,omitempty"`
	Configuration *catalog.Configuration     `json:"configuration,omitempty"`
	Invalid       *wireInvalid               `json:"invalid,omitempty"`
	Evacuated     *[]string                  `json:"evacuated,omitempty"`
	Evacuations   []catalog.EvacuationChange `json:"evacuations,omitempty"`
	Revision      uint64                     `json:"revision,omitempty"`
}

type wireInvalid struct {
	Reason string `json:"reason"`
}

type wireUpstreams struct {
	Changes []wireChange `json:"changes"`
}

// wireChange is a catalog.UpstreamChange whose error is sent as text.
type wireChange struct {
	Upstream catalog.Upstream `json:"upstream"`
	Removed  bool             `json:"removed,omitempty"`
	Invalid  string           `json:"invalid,omitempty"`
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

func decodeMessage(data []byte) (*message, error) {
	m := &message{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, &MessageError{Err: err}
	}
	if m.From.Name == "" || m.From.FailureDomain == "" || !m.From.Address.IsValid() {
		return nil, &MessageError{Err: errSenderIncomplete}
	}
	return m, nil
}

func encodeUpdate(u catalogsync.Update) *wireUpdate {
	w := &wireUpdate{Kind: u.Kind, Base: u.Base, Revision: u.Revision}
	for _, event := range u.Events {
		switch e := event.(type) {
		case catalog.UpstreamsListed:
			w.Events = append(w.Events, wireEvent{Listed: encodeChanges(e.Entries), Revision: e.Revision})
		case catalog.UpstreamsChanged:
			w.Events = append(w.Events, wireEvent{Changed: encodeChanges(e.Changes), Revision: e.Revision})
		case catalog.ConfigurationRead:
			w.Events = append(w.Events, wireEvent{Configuration: &e.Configuration})
		case catalog.ConfigurationInvalid:
			w.Events = append(w.Events, wireEvent{Invalid: &wireInvalid{Reason: e.Err.Error()}, Revision: e.Revision})
		case catalog.EvacuationsListed:
			w.Events = append(w.Events, wireEvent{Evacuated: &e.Domains, Revision: e.Revision})
		case catalog.EvacuationsChanged:
			w.Events = append(w.Events, wireEvent{Evacuations: e.Changes, Revision: e.Revision})
		}
	}
	return w
}

func encodeChanges(changes []catalog.UpstreamChange) *wireUpstreams {
	w := &wireUpstreams{Changes: make([]wireChange, 0, len(changes))}
	for _, change := range changes {
		c := wireChange{Upstream: change.Upstream, Removed: change.Removed}
		if change.Invalid != nil {
			c.Invalid = change.Invalid.Error()
		}
		w.Changes = append(w.Changes, c)
	}
	return w
}

func (w *wireUpdate) decode() (catalogsync.Update, error) {
	u := catalogsync.Update{Kind: w.Kind, Base: w.Base, Revision: w.Revision}
	if w.Kind < 0 || int(w.Kind) >= len(catalog.Kinds()) || w.Base > w.Revision {
		return u, &MessageError{Err: fmt.Errorf("unknown kind or decreasing revision: kind %d from revision %d to %d", w.Kind, w.Base, w.Revision)}
	}
	for _, e := range w.Events {
		switch {
		case e.Listed != nil:
			u.Events = append(u.Events, catalog.UpstreamsListed{Entries: e.Listed.decode(), Revision: e.Revision})
		case e.Changed != nil:
			u.Events = append(u.Events, catalog.UpstreamsChanged{Changes: e.Changed.decode(), Revision: e.Revision})
		case e.Configuration != nil:
			u.Events = append(u.Events, catalog.ConfigurationRead{Configuration: *e.Configuration})
		case e.Invalid != nil:
			u.Events = append(u.Events, catalog.ConfigurationInvalid{Err: &RemoteError{Reason: e.Invalid.Reason}, Revision: e.Revision})
		case e.Evacuated != nil:
			u.Events = append(u.Events, catalog.EvacuationsListed{Domains: *e.Evacuated, Revision: e.Revision})
		case e.Evacuations != nil:
			u.Events = append(u.Events, catalog.EvacuationsChanged{Changes: e.Evacuations, Revision: e.Revision})
		}
	}
	return u, nil
}

func (w *wireUpstreams) decode() []catalog.UpstreamChange {
	changes := make([]catalog.UpstreamChange, 0, len(w.Changes))
	for _, c := range w.Changes {
		change := catalog.UpstreamChange{Upstream: c.Upstream, Removed: c.Removed}
		if c.Invalid != "" {
			change.Invalid = &RemoteError{Reason: c.Invalid}
		}
		changes = append(changes, change)
	}
	return changes
}
