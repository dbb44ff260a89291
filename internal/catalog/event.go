package catalog

import (
	"net/netip"
	"time"
)

// Kind is a kind of knowledge that is read and watched as a whole.
type Kind int

// Kinds of knowledge.
const (
	KindUpstreams Kind = iota
	KindConfiguration
	KindEvacuations
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{KindUpstreams, KindConfiguration, KindEvacuations} }

func (k Kind) String() string {
	return [...]string{"upstreams", "configuration", "evacuations"}[k]
}

// Upstream is what the platform's store says of one upstream.
type Upstream struct {
	// ID is the key of the upstream's entry.
	ID string
	// Born is the start of this incarnation in Unix milliseconds.
	Born int64
	// Token is the number by which the upstream recognizes datagrams that are
	// meant for it.
	Token         uint64
	Address       netip.AddrPort
	FailureDomain string
	Service       string
	// Capacity is the number of requests that the upstream runs at once.
	Capacity int
	// Draining upstreams keep their flows and must get no new ones.
	Draining bool
	// ColdFor is how long the upstream stayed cold when it wrote the entry.
	ColdFor time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
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
}

// Service has the limits of the upstreams of one service.
type Service struct {
	Name string
	// ColdDuration is how long an upstream is cold after its start.
	ColdDuration time.Duration
	// ColdRate is the number of requests per second that a cold upstream
	// sustains.
	ColdRate float64
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
}

// Configuration is what the operators declared.
type Configuration struct {
	Version  uint64
	Revision uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time after which an idle flow may be forgotten; 0 when
	// the configuration does not say.
	IdleTimeout time.Duration
}

// Event is a message from the source of knowledge. Events of one kind arrive in
// the order of their revisions; an event with an older revision than the last
// one of its kind is ignored.
type Event interface{ event() }

// UpstreamsListed replaces all upstreams. A removal in it describes an upstream
// that was listed before.
type UpstreamsListed struct {
	Entries  []UpstreamChange
	Revision uint64
}

// UpstreamsChanged carries changes of single upstreams, in order.
type UpstreamsChanged struct {
	Changes  []UpstreamChange
	Revision uint64
}

// UpstreamChange is a new entry, or the end of one.
type UpstreamChange struct {
	// Upstream may have only its ID and revision when Removed or Invalid is set.
	Upstream Upstream
	Removed  bool
	// Invalid says why the entry cannot be used; nil for a valid entry.
	Invalid error
}

// ConfigurationRead carries the whole configuration.
type ConfigurationRead struct{ Configuration Configuration }

// ConfigurationInvalid says that the stored configuration cannot be used.
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

// EvacuationChange is the start or the end of one evacuation.
type EvacuationChange struct {
	FailureDomain string
	Ended         bool
}

// Confirmed says that the store had nothing newer than Revision.
type Confirmed struct {
	Kind     Kind
	Revision uint64
}

// Unavailable says that a call for a kind failed.
type Unavailable struct {
	Kind Kind
	Err  error
}

// MateUnavailable says that no other instance could give its knowledge.
type MateUnavailable struct {
	Kind Kind
	Err  error
}

func (MateUnavailable) event()      {}
func (UpstreamsListed) event()      {}
func (UpstreamsChanged) event()     {}
func (ConfigurationRead) event()    {}
func (ConfigurationInvalid) event() {}
func (EvacuationsListed) event()    {}
func (EvacuationsChanged) event()   {}
func (Confirmed) event()            {}
func (Unavailable) event()          {}
