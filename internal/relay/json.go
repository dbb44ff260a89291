package relay

import (
	"encoding/json"
	"fmt"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
)

// jsonMessage is the JSON form of a message. Versions without the binary format read
// and send nothing else, and ignore Announcement, Revisions and Eras. It has no
// Answering, which only versions with the binary format use.
type jsonMessage struct {
	From         Member                `json:"from"`
	Hello        bool                  `json:"hello,omitempty"`
	Members      []mention             `json:"members,omitempty"`
	Announcement bool                  `json:"announcement,omitempty"`
	Revisions    []uint64              `json:"revisions,omitempty"`
	Eras         []uint64              `json:"eras,omitempty"`
	Update       *wireUpdate           `json:"update,omitempty"`
	Silent       []UpstreamIncarnation `json:"silent,omitempty"`
	Lost         []UpstreamIncarnation `json:"lost,omitempty"`
}

func (m *message) encodeJSON() ([]byte, error) {
	j := jsonMessage{
		From: m.From, Hello: m.Hello, Members: m.Members, Announcement: m.Announcement,
		Silent: m.Silent, Lost: m.Lost,
	}
	if m.Positions != nil {
		for _, position := range m.Positions {
			j.Revisions, j.Eras = append(j.Revisions, position.Revision), append(j.Eras, position.Era)
		}
	}
	if m.Update != nil {
		j.Update = encodeUpdate(*m.Update)
	}
	return json.Marshal(j)
}

func decodeJSON(data []byte) (*message, error) {
	var j jsonMessage
	if err := json.Unmarshal(data, &j); err != nil {
		return nil, err
	}
	m := &message{
		From: j.From, Hello: j.Hello, Members: j.Members, Announcement: j.Announcement,
		Silent: j.Silent, Lost: j.Lost,
	}
	if len(j.Revisions) > 0 {
		m.Positions = positionsFrom(j.Revisions, j.Eras)
	}
	if j.Update != nil {
		update, err := j.Update.decode()
		if err != nil {
			return nil, err
		}
		m.Update = &update
	}
	return m, nil
}

// wireUpdate is the JSON form of a catalogsync.Update.
type wireUpdate struct {
	Kind     catalog.Kind `json:"kind"`
	Era      uint64       `json:"era,omitempty"`
	Base     uint64       `json:"base"`
	Revision uint64       `json:"revision"`
	Current  bool         `json:"current,omitempty"`
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

func encodeUpdate(u catalogsync.Update) *wireUpdate {
	w := &wireUpdate{Kind: u.Kind, Era: u.Era, Base: u.Base, Revision: u.Revision, Current: u.Current}
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
	u := catalogsync.Update{Kind: w.Kind, Era: w.Era, Base: w.Base, Revision: w.Revision, Current: w.Current}
	if w.Kind < 0 || int(w.Kind) >= len(catalog.Kinds()) || w.Base > w.Revision {
		return u, fmt.Errorf("unknown kind or decreasing revision: kind %d from revision %d to %d", w.Kind, w.Base, w.Revision)
	}
	for _, e := range w.Events {
		switch {
		case e.Listed != nil:
			u.Events = append(u.Events, catalog.UpstreamsListed{Entries: e.Listed.decode(), Revision: e.Revision})
		case e.Changed != nil:
			u.Events = append(u.Events, catalog.UpstreamsChanged{Changes: e.Changed.decode(), Revision: e.Revision})
		case e.Configuration != nil:
			for i := range e.Configuration.Routes {
				if terms := &e.Configuration.Routes[i].Terms; *terms == (catalog.Terms{}) {
					// The sender's version does not report the terms of routes. Without this, they
					// would have the highest priority.
					*terms = catalog.DefaultTerms()
				}
				e.Configuration.Routes[i].Terms.Normalize()
			}
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
