// Package fabric is a test double of the network in front of the load balancer,
// which may deliver any packet of any flow to any instance and may lose,
// duplicate and reorder packets. Sprayer makes these decisions without I/O;
// Server receives and forwards the datagrams.
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

// Instance is a load balancer instance to which packets are sent.
type Instance struct {
	Name string
	// Address is the instance's traffic address.
	Address netip.AddrPort
}

// InstancesFromMap converts a map from instance names to traffic addresses. The result is
// ordered by name, so that equal seeds give equal routes.
func InstancesFromMap(addresses map[string]netip.AddrPort) []Instance {
	instances := make([]Instance, 0, len(addresses))
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		instances = append(instances, Instance{Name: name, Address: addresses[name]})
	}
	return instances
}

// Rates configures the faults of the fabric. Duplicate is a probability per
// packet, Drop and Reorder are probabilities per copy of a packet, all from 0 to
// 1.
type Rates struct {
	Drop      float64 `json:"drop"`
	Duplicate float64 `json:"duplicate"`
	// Reorder is the share of copies that are delayed by a random time of up to
	// ReorderDelay, so that later packets overtake them.
	Reorder float64 `json:"reorder"`
	// ReorderDelay is the maximum additional delay, in nanoseconds in JSON.
	// Default 20 ms.
	ReorderDelay time.Duration `json:"reorder_delay_ns"`
	// Latency is the delay of every copy, in nanoseconds in JSON.
	Latency time.Duration `json:"latency_ns"`
}

const defaultReorderDelay = 20 * time.Millisecond

// RateError reports a rate outside the range 0 to 1.
type RateError struct {
	Name  string
	Value float64
}

func (e *RateError) Error() string {
	return fmt.Sprintf("fabric: rate %s is %g, outside the range 0 to 1", e.Name, e.Value)
}

// Validate returns a *RateError if Drop, Duplicate or Reorder is outside the
// range 0 to 1 or not a number.
func (r Rates) Validate() error {
	for name, value := range map[string]float64{"drop": r.Drop, "duplicate": r.Duplicate, "reorder": r.Reorder} {
		if !(value >= 0 && value <= 1) {
			return &RateError{Name: name, Value: value}
		}
	}
	return nil
}

// Pair selects the packets from a caller to an instance that are blocked. Caller
// is an ip:port, an IP address, or "*" for every caller. Instance is a name, or
// "*" for every instance.
type Pair struct {
	Caller   string `json:"caller"`
	Instance string `json:"instance"`
}

// Delivery is one copy of a packet to send.
type Delivery struct {
	Instance Instance
	Delay    time.Duration
}

// Stats contains the packet counters of a Sprayer. Received, Duplicated and
// Malformed count packets; Sent, Dropped, Reordered and Blocked count copies. A
// copy without an enabled instance counts as Dropped, and a blocked copy may
// also count as Reordered.
type Stats struct {
	Received   uint64 `json:"received"`
	Sent       uint64 `json:"sent"`
	Dropped    uint64 `json:"dropped"`
	Duplicated uint64 `json:"duplicated"`
	Reordered  uint64 `json:"reordered"`
	Blocked    uint64 `json:"blocked"`
	Malformed  uint64 `json:"malformed"`
	// PerInstance is the number of copies sent to each instance, by name.
	PerInstance map[string]uint64 `json:"per_instance"`
}

// Sprayer selects the instances that receive each packet (packet spraying) and
// applies the faults. It is safe for concurrent use.
type Sprayer struct {
	mu        sync.Mutex
	rng       *rand.Rand
	rates     Rates
	instances []Instance
	// disabled contains true for the name of each disabled instance.
	disabled map[string]bool
	blocked  map[Pair]bool
	stats    Stats
}

// NewSprayer returns a Sprayer for the instances. It returns a *RateError if a
// rate is outside the range 0 to 1.
func NewSprayer(instances []Instance, rates Rates, rng *rand.Rand) (*Sprayer, error) {
	s := &Sprayer{rng: rng, disabled: map[string]bool{}, blocked: map[Pair]bool{}}
	s.SetInstances(instances)
	return s, s.SetRates(rates)
}

// SetRates replaces the rates. It returns a *RateError, and changes nothing, if a
// rate is outside the range 0 to 1.
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

// Rates returns the current rates.
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

// Disable excludes an instance from routing, as a network does once it has
// detected that the instance is gone, or includes it again.
func (s *Sprayer) Disable(name string, disabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if disabled {
		s.disabled[name] = true
	} else {
		delete(s.disabled, name)
	}
}

// Block starts or stops to drop the packets that the pair selects.
func (s *Sprayer) Block(p Pair, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if blocked {
		s.blocked[p] = true
	} else {
		delete(s.blocked, p)
	}
}

// Route returns the copies of one packet of the caller to send: none, one or two.
// caller is an ip:port.
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
	instance, ok := s.pickInstance()
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

func (s *Sprayer) pickInstance() (Instance, bool) {
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
	callerIP := caller
	if i := strings.LastIndexByte(caller, ':'); i >= 0 {
		callerIP = caller[:i]
	}
	for _, pattern := range []string{caller, callerIP, "*"} {
		if s.blocked[Pair{pattern, instance}] || s.blocked[Pair{pattern, "*"}] {
			return true
		}
	}
	return false
}

// Stats returns a copy of the counters.
func (s *Sprayer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	statsCopy := s.stats
	statsCopy.PerInstance = make(map[string]uint64, len(s.stats.PerInstance))
	for name, n := range s.stats.PerInstance {
		statsCopy.PerInstance[name] = n
	}
	return statsCopy
}
