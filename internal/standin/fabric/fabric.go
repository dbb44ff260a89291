// Package fabric is the stand-in of the network that may deliver any packet
// of any flow to any instance. Sprayer decides without I/O; Server carries
// datagrams.
package fabric

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Instance is one destination.
type Instance struct {
	Name string
	// Address is the traffic address.
	Address netip.AddrPort
}

// FromMap returns the instances of a map from names to traffic addresses,
// ordered by name, so that a seed gives the same spray every time.
func FromMap(addresses map[string]netip.AddrPort) []Instance {
	instances := make([]Instance, 0, len(addresses))
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		instances = append(instances, Instance{Name: name, Address: addresses[name]})
	}
	return instances
}

// Rates are the faults of the fabric. Rates lie between 0 and 1.
type Rates struct {
	Drop      float64 `json:"drop"`
	Duplicate float64 `json:"duplicate"`
	// Reorder is the share of packets held back for up to ReorderDelay, so
	// that later ones overtake them.
	Reorder float64 `json:"reorder"`
	// ReorderDelay is in nanoseconds in JSON. Default 20 ms.
	ReorderDelay time.Duration `json:"reorder_delay_ns"`
	// Latency is added to every packet.
	Latency time.Duration `json:"latency_ns"`
}

const defaultReorderDelay = 20 * time.Millisecond

// RateError says that a rate lies outside 0 to 1.
type RateError struct {
	Name  string
	Value float64
}

func (e *RateError) Error() string {
	return fmt.Sprintf("fabric: rate %s is %g, not 0 to 1", e.Name, e.Value)
}

// Validate fails with *RateError.
func (r Rates) Validate() error {
	for name, value := range map[string]float64{"drop": r.Drop, "duplicate": r.Duplicate, "reorder": r.Reorder} {
		if !(value >= 0 && value <= 1) {
			return &RateError{Name: name, Value: value}
		}
	}
	return nil
}

// Pair blocks packets from a caller to an instance. Caller is an ip:port, an
// IP address or "*"; Instance is a name or "*".
type Pair struct {
	Caller   string `json:"caller"`
	Instance string `json:"instance"`
}

// Delivery is one copy of a packet to send.
type Delivery struct {
	Instance Instance
	Delay    time.Duration
}

// Stats counts packets.
type Stats struct {
	Received   uint64 `json:"received"`
	Sent       uint64 `json:"sent"`
	Dropped    uint64 `json:"dropped"`
	Duplicated uint64 `json:"duplicated"`
	Reordered  uint64 `json:"reordered"`
	Blocked    uint64 `json:"blocked"`
	Malformed  uint64 `json:"malformed"`
	// PerInstance counts the copies sent to each instance.
	PerInstance map[string]uint64 `json:"per_instance"`
}

// Sprayer picks the instances that a packet reaches. It is safe for concurrent
// use.
type Sprayer struct {
	mu        sync.Mutex
	rng       *rand.Rand
	rates     Rates
	instances []Instance
	disabled  map[string]bool
	blocked   map[Pair]bool
	stats     Stats
}

// NewSprayer returns a sprayer. It fails with *RateError.
func NewSprayer(instances []Instance, rates Rates, rng *rand.Rand) (*Sprayer, error) {
	s := &Sprayer{rng: rng, disabled: map[string]bool{}, blocked: map[Pair]bool{}}
	s.SetInstances(instances)
	return s, s.SetRates(rates)
}

// SetRates replaces the rates. It fails with *RateError.
func (s *Sprayer) SetRates(r Rates) error {
	if err := r.Validate(); err != nil {
		return err
	}
	if r.ReorderDelay == 0 {
		r.ReorderDelay = defaultReorderDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rates = r
	return nil
}

// Rates returns the rates in force.
func (s *Sprayer) Rates() Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rates
}

// SetInstances replaces the destinations.
func (s *Sprayer) SetInstances(instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
}

// Disable takes an instance out of the spray, as a fabric does once it has
// noticed that the instance is gone, or puts it back.
func (s *Sprayer) Disable(name string, disabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if disabled {
		s.disabled[name] = true
	} else {
		delete(s.disabled, name)
	}
}

// Block drops the packets of a pair, or lets them pass again.
func (s *Sprayer) Block(p Pair, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if blocked {
		s.blocked[p] = true
	} else {
		delete(s.blocked, p)
	}
}

// Route returns the copies to send of one packet of a caller.
func (s *Sprayer) Route(caller string) []Delivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Received++
	copies := 1
	if s.rng.Float64() < s.rates.Duplicate {
		copies = 2
		s.stats.Duplicated++
	}
	var deliveries []Delivery
	for range copies {
		if d, ok := s.routeCopy(caller); ok {
			deliveries = append(deliveries, d)
		}
	}
	return deliveries
}

func (s *Sprayer) routeCopy(caller string) (Delivery, bool) {
	instance, ok := s.pick()
	if !ok || s.rng.Float64() < s.rates.Drop {
		s.stats.Dropped++
		return Delivery{}, false
	}
	d := Delivery{Instance: instance, Delay: s.rates.Latency}
	if s.rng.Float64() < s.rates.Reorder {
		s.stats.Reordered++
		d.Delay += time.Duration(s.rng.Float64() * float64(s.rates.ReorderDelay))
	}
	if s.isBlocked(caller, instance.Name) {
		s.stats.Blocked++
		return Delivery{}, false
	}
	s.stats.Sent++
	if s.stats.PerInstance == nil {
		s.stats.PerInstance = map[string]uint64{}
	}
	s.stats.PerInstance[instance.Name]++
	return d, true
}

func (s *Sprayer) pick() (Instance, bool) {
	if len(s.disabled) == 0 {
		if len(s.instances) == 0 {
			return Instance{}, false
		}
		return s.instances[s.rng.IntN(len(s.instances))], true
	}
	enabled := make([]Instance, 0, len(s.instances))
	for _, i := range s.instances {
		if !s.disabled[i.Name] {
			enabled = append(enabled, i)
		}
	}
	if len(enabled) == 0 {
		return Instance{}, false
	}
	return enabled[s.rng.IntN(len(enabled))], true
}

func (s *Sprayer) isBlocked(caller, instance string) bool {
	if len(s.blocked) == 0 {
		return false
	}
	ip := caller
	if i := strings.LastIndexByte(caller, ':'); i >= 0 {
		ip = caller[:i]
	}
	for _, c := range []string{caller, ip, "*"} {
		if s.blocked[Pair{c, instance}] || s.blocked[Pair{c, "*"}] {
			return true
		}
	}
	return false
}

// Stats returns a copy of the counters.
func (s *Sprayer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.stats
	copied.PerInstance = make(map[string]uint64, len(s.stats.PerInstance))
	for name, n := range s.stats.PerInstance {
		copied.PerInstance[name] = n
	}
	return copied
}
