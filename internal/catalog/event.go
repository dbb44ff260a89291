package catalog

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"
)

// Kind is a kind of data that is read from the store and watched as a whole.
type Kind int

// Kinds of data in the store.
const (
	KindUpstreams Kind = iota
	KindConfiguration
	KindEvacuations
	kindCount
)

// Kinds returns all kinds in the order of their values.
func Kinds() []Kind { return []Kind{KindUpstreams, KindConfiguration, KindEvacuations} }

func (k Kind) String() string {
	return [...]string{"upstreams", "configuration", "evacuations"}[k]
}

// Position is a point in the history of the store. Revisions are comparable only within
// an era: a store that is restored from a copy starts a new era, and gives the revisions
// after that of the copy out again.
type Position struct{ Era, Revision uint64 }

// Compare orders positions by their era and then by their revision: it returns -1, 0 or
// 1.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Upstream is the entry of one upstream in the platform's store.
type Upstream struct {
	// ID is the key of the upstream's entry.
	ID string
	// Born is the start of this incarnation in Unix milliseconds.
	Born int64
	// Token is the number by which the upstream recognises datagrams that are
	// meant for it.
	Token         uint64
	Address       netip.AddrPort
	FailureDomain string
	Service       string
	// Capacity is the number of requests that the upstream runs concurrently.
	Capacity int
	// Draining is set when the upstream keeps its flows and must get no new ones.
	Draining bool
	// ColdFor is the remaining time of the cold start when the upstream wrote the
	// entry; 0 for a warm upstream.
	ColdFor time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Bounds of numbers in the entry of an upstream. Larger ones are errors of the writer.
const (
	maxCapacity = 1 << 20
	maxBorn     = 253402300799999 // The last millisecond of the year 9999.
)

// EntryError reports a number in the entry of an upstream that is out of range.
type EntryError struct {
	Field      string
	Value, Max int64
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("%s %d of the upstream is out of range, the largest is %d", e.Field, e.Value, e.Max)
}

// Check fails with *EntryError if a number of the entry is out of range. Entries from
// other instances, whose version may not have checked them, are checked as well.
func (u *Upstream) Check() error {
	switch {
	case u.Capacity < 1 || u.Capacity > maxCapacity:
		return &EntryError{Field: "capacity", Value: int64(u.Capacity), Max: maxCapacity}
	case u.Born < 0 || u.Born > maxBorn:
		return &EntryError{Field: "start time", Value: u.Born, Max: maxBorn}
	}
	return nil
}

// Weight is a service's share of the new flows of a route.
type Weight struct {
	Service string
	Weight  int
}

// Route maps a service address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	Split   []Weight
	Terms   Terms
}

// Service holds the limits and the health check of the upstreams of one service.
type Service struct {
	Name string
	// ColdDuration is how long an upstream is cold after its start.
	ColdDuration time.Duration
	// ColdRate is the number of requests per second that a cold upstream
	// sustains.
	ColdRate float64
	// HealthPath is the URL path of the upstreams' health check.
	HealthPath string
}

// Configuration is the configuration that the operators declared.
type Configuration struct {
	Version  uint64
	Revision uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time after which an idle flow's record may be deleted; 0
	// when the configuration does not set it.
	IdleTimeout time.Duration
}

// Event is an input of Apply. Events of one kind arrive in the order of their
// positions; their revisions belong to the era of the last EraChanged. A list that is
// older than the state is ignored, and so is a configuration that is not newer than the
// one in force.
type Event interface{ event() }

// UpstreamsListed replaces all upstreams. An entry with Removed set describes an
// upstream that was listed before.
type UpstreamsListed struct {
	Entries  []UpstreamChange
	Revision uint64
}

// UpstreamsChanged carries changes of single upstreams, in order.
type UpstreamsChanged struct {
	Changes  []UpstreamChange
	Revision uint64
}

// UpstreamChange is a new state of an upstream's entry, or its removal.
type UpstreamChange struct {
	// Upstream may have only its ID and revision when Removed or Invalid is set.
	Upstream Upstream
	Removed  bool
	// Invalid says why the entry cannot be used; nil for a valid entry.
	Invalid error
}

// ConfigurationRead carries the whole configuration.
type ConfigurationRead struct{ Configuration Configuration }

// ConfigurationInvalid reports that the stored configuration cannot be used.
type ConfigurationInvalid struct {
	Revision uint64
	Err      error
}

// EvacuationsListed replaces the set of evacuated failure domains.
type EvacuationsListed struct {
	Domains []string
	// Invalid are the reasons for entries that were left out.
	Invalid  []error
	Revision uint64
}

// EvacuationsChanged adds and removes evacuated failure domains, in order.
type EvacuationsChanged struct {
	Changes []EvacuationChange
	// Invalid are the reasons for entries that were left out.
	Invalid  []error
	Revision uint64
}

// EvacuationChange is the start, or with Ended the end, of one evacuation.
type EvacuationChange struct {
	FailureDomain string
	Ended         bool
	// Revision is the revision of the change; 0 in messages of other instances.
	Revision uint64
}

// Known reports that all changes of the kind up to Revision have been applied. It does
// not tell how old Revision is: a replica of the store that lags may have answered.
type Known struct {
	Kind     Kind
	Revision uint64
}

// FoundByCheck reports that a check in the store found changes between Revision and
// Current: the answers of replicas lacked them, or updates of peers were lost.
type FoundByCheck struct {
	Kind              Kind
	Revision, Current uint64
}

// Confirmed reports that the store itself had no change of the kind after Revision.
type Confirmed struct {
	Kind     Kind
	Revision uint64
	// ByPeer is set when a peer made the check. How long its message took is not known.
	ByPeer bool
	// Began is the start of a check by this instance; zero when only its end is known, which
	// is at most checkDelay later.
	Began time.Time
}

// Unavailable reports that a call to the store for a kind failed.
type Unavailable struct {
	Kind Kind
	Err  error
}

// EraChanged carries the first state of a kind that belongs to another era.
type EraChanged struct {
	Kind Kind
	// Before is the position of the state so far, After that of Events.
	Before, After Position
	// Restored is set when there is a state of an earlier era. What was written since
	// the copy may be missing from Events until it has been written again, so that they
	// are merged with that state; EraSettled ends this.
	Restored bool
	Events   []Event
}

// EraSettled reports that the next list is complete: what the store lost has been
// written again.
type EraSettled struct {
	Kind Kind
	Era  uint64
}

// ListPagesDiffer reports a list whose pages show the store at different revisions:
// from Revision to Newest.
type ListPagesDiffer struct {
	Kind             Kind
	Revision, Newest uint64
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID string
	// Born is the start in Unix milliseconds.
	Born int64
}

// EarlierIncarnations carries incarnations that later ones under the same ids have
// replaced, for an instance that started after that. Those of unknown upstreams are
// ignored.
type EarlierIncarnations struct{ Incarnations []Incarnation }

// MissingUpstream is an upstream whose entry has been missing from the store for the time Ago.
type MissingUpstream struct {
	Upstream Upstream
	Ago      time.Duration
}

// MissingUpstreams carries upstreams whose entries other instances have seen vanish, for an
// instance that started after that. The upstreams may still serve their flows.
type MissingUpstreams struct{ Upstreams []MissingUpstream }

// EndedEvacuation is an evacuation that ended the time Ago ago.
type EndedEvacuation struct {
	FailureDomain string
	Ago           time.Duration
}

// EvacuationsEnded carries the ends of evacuations that other instances have seen, for an
// instance that started after them.
type EvacuationsEnded struct{ Evacuations []EndedEvacuation }

// EarlierEvacuationEnds carries the ends of evacuations that the store's history shows, for
// an instance that started after them.
type EarlierEvacuationEnds struct {
	// Revisions stores, by failure domain, the revision of the end.
	Revisions map[string]uint64
	// Err is the reason why the history could not be read, or nil.
	Err error
}

// Add adds the ends among changes.
func (e *EarlierEvacuationEnds) Add(changed EvacuationsChanged) {
	for _, change := range changed.Changes {
		if !change.Ended {
			continue
		}
		if e.Revisions == nil {
			e.Revisions = map[string]uint64{}
		}
		e.Revisions[change.FailureDomain] = max(e.Revisions[change.FailureDomain], change.Revision)
	}
}

// AnswerIgnored reports an answer of the store that was not applied, because its
// position is before that of the state.
type AnswerIgnored struct {
	Kind Kind
	// Answer is the position of the answer, Held that of the state.
	Answer, Held Position
}

// PeerStateFetched carries the whole state of a kind from another instance, for an
// instance that the store has not answered yet. The time of the event is that of the
// last confirmation by the store.
type PeerStateFetched struct {
	Kind     Kind
	Revision uint64
	Events   []Event
	// Source is the name of the instance, Age the time since the confirmation.
	Source string
	Age    time.Duration
}

func (EraChanged) event()            {}
func (EraSettled) event()            {}
func (AnswerIgnored) event()         {}
func (EvacuationsEnded) event()      {}
func (EarlierEvacuationEnds) event() {}
func (EarlierIncarnations) event()   {}
func (MissingUpstreams) event()      {}
func (ListPagesDiffer) event()       {}
func (PeerStateFetched) event()      {}
func (UpstreamsListed) event()       {}
func (UpstreamsChanged) event()      {}
func (ConfigurationRead) event()     {}
func (ConfigurationInvalid) event()  {}
func (EvacuationsListed) event()     {}
func (EvacuationsChanged) event()    {}
func (Known) event()                 {}
func (FoundByCheck) event()          {}
func (Confirmed) event()             {}
func (Unavailable) event()           {}
