package declare

import (
	"fmt"
	"math"
	"net/netip"

	"github.com/chivemast/chivemast/internal/document"
)

// Sizes of a team.
const (
	// MaxServices is the number of services of a team.
	MaxServices = 1000
	// MaxUpstreams is the number of upstreams of a service, the number of
	// its buckets: a further upstream could not get one.
	MaxUpstreams = 1024
)

// ValidName tells whether a name has the form of team, service, upstream,
// instance and failure domain names.
func ValidName(name string) bool { return document.ValidName(name) }

// checker validates one or more documents of the same team.
type checker struct {
	doc       *document.Document
	services  map[string]string
	addresses *addressBook
}

func (c *checker) team(t *Team) error {
	if err := c.doc.CheckName("name", t.Name); err != nil {
		return err
	}
	if len(t.Services) > MaxServices {
		return c.doc.Errorf("services", document.OutOfRange, fmt.Sprintf("at most %d", MaxServices), "%d services", len(t.Services))
	}
	for i := range t.Services {
		if err := c.service(document.Index("services", i), t.Name, &t.Services[i]); err != nil {
			return err
		}
	}
	for i := range t.Released {
		if err := c.release(document.Index("released", i), &t.Released[i]); err != nil {
			return err
		}
	}
	return nil
}

// release checks an entry by itself: its address may be in use again.
func (c *checker) release(path string, r *Release) error {
	if err := c.doc.CheckAddress(path+".address", r.Address, false); err != nil {
		return err
	}
	if err := c.doc.CheckName(path+".service", r.Service); err != nil {
		return err
	}
	if r.Upstream != "" {
		if err := c.doc.CheckName(path+".upstream", r.Upstream); err != nil {
			return err
		}
	}
	if err := c.doc.CheckRange(path+".released_at_ms", r.ReleasedAtMS, 1, math.MaxInt64); err != nil {
		return err
	}
	if err := c.doc.CheckRange(path+".revision", r.Revision, 0, math.MaxInt64); err != nil {
		return err
	}
	return c.doc.CheckRange(path+".idle_timeout_seconds", int64(r.IdleTimeoutSeconds), 1, 86_400)
}

func (c *checker) service(path, team string, s *Service) error {
	if err := c.doc.CheckName(path+".name", s.Name); err != nil {
		return err
	}
	if first, ok := c.services[s.Name]; ok {
		return c.doc.Errorf(path+".name", document.Duplicate, "a unique name", "service %q is also declared at %s", s.Name, first)
	}
	c.services[s.Name] = path
	for _, r := range []struct {
		key       string
		value     int
		low, high int64
	}{
		{"idle_timeout_seconds", s.IdleTimeoutSeconds, 1, 86_400},
		{"max_request_timeout_ms", s.MaxRequestTimeoutMS, 10, 5_000},
		{"cold_start.sustainable_opens_per_second", s.ColdStart.SustainableOpensPerSecond, 1, 100_000},
		{"cold_start.ramp_seconds", s.ColdStart.RampSeconds, 1, 3_600},
		{"limits.requests_per_second", s.Limits.RequestsPerSecond, 0, 10_000_000},
		{"limits.concurrent_requests", s.Limits.ConcurrentRequests, 0, 10_000_000},
	} {
		if err := c.doc.CheckRange(path+"."+r.key, int64(r.value), r.low, r.high); err != nil {
			return err
		}
	}
	if err := c.address(path+".address", s.Address, Use{Team: team, Service: s.Name}); err != nil {
		return err
	}
	if len(s.Upstreams) > MaxUpstreams {
		return c.doc.Errorf(path+".upstreams", document.OutOfRange, fmt.Sprintf("at most %d", MaxUpstreams), "%d upstreams", len(s.Upstreams))
	}
	names := map[string]bool{}
	for i := range s.Upstreams {
		upstreamPath := document.Index(path+".upstreams", i)
		if err := c.upstream(upstreamPath, team, s.Name, &s.Upstreams[i]); err != nil {
			return err
		}
		if name := s.Upstreams[i].Name; names[name] {
			return c.doc.Errorf(upstreamPath+".name", document.Duplicate, "a unique name", "upstream %q appears twice", name)
		}
		names[s.Upstreams[i].Name] = true
	}
	return nil
}

func (c *checker) upstream(path, team, service string, u *Upstream) error {
	if err := c.doc.CheckName(path+".name", u.Name); err != nil {
		return err
	}
	if err := c.doc.CheckName(path+".failure_domain", u.FailureDomain); err != nil {
		return err
	}
	if err := c.doc.CheckRange(path+".weight", int64(u.Weight), 1, 1_000); err != nil {
		return err
	}
	return c.address(path+".address", u.Address, Use{Team: team, Service: service, Upstream: u.Name})
}

func (c *checker) address(path string, address netip.AddrPort, use Use) error {
	if err := c.doc.CheckAddress(path, address, false); err != nil {
		return err
	}
	if conflict := c.addresses.add(address, use); conflict != nil {
		return c.doc.Errorf(path, document.Duplicate, "an address of its own", "%w", conflict)
	}
	return nil
}
