package declare

import (
	"fmt"
	"math"
	"net/netip"

	"github.com/chivemast/chivemast/internal/document"
)

// Size limits of a team.
const (
	// MaxServices is the largest number of services of a team.
	MaxServices = 1000
	// MaxUpstreams is the largest number of upstreams of a service. It equals
	// the number of buckets of a service; a further upstream could not get one.
	MaxUpstreams = 1024
)

// ValidName reports whether a name has the form that names of teams, services,
// upstreams, instances and failure domains must have; see document.ValidName.
func ValidName(name string) bool { return document.ValidName(name) }

// checker validates one or more documents of the same team.
type checker struct {
	doc       *document.Document // the document being validated
	services  map[string]string  // path of each service in its document, by name
	addresses *addressIndex      // addresses used so far, over all documents
}

func (c *checker) checkTeam(t *Team) error {
	if err := c.doc.CheckName("name", t.Name); err != nil {
		return err
	}
	if len(t.Services) > MaxServices {
		return c.doc.Errorf("services", document.OutOfRange, fmt.Sprintf("at most %d", MaxServices), "team has %d services", len(t.Services))
	}
	for i := range t.Services {
		if err := c.checkService(document.Index("services", i), t.Name, &t.Services[i]); err != nil {
			return err
		}
	}
	for i := range t.Released {
		if err := c.checkRelease(document.Index("released", i), &t.Released[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkRelease validates a released address by itself. It does not look for
// conflicts, since the address may be in use again.
func (c *checker) checkRelease(path string, r *Release) error {
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

func (c *checker) checkService(path, team string, s *Service) error {
	if err := c.doc.CheckName(path+".name", s.Name); err != nil {
		return err
	}
	if first, ok := c.services[s.Name]; ok {
		return c.doc.Errorf(path+".name", document.Duplicate, "a unique name", "service %q is already declared at %s", s.Name, first)
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
	if err := c.checkAddress(path+".address", s.Address, Use{Team: team, Service: s.Name}); err != nil {
		return err
	}
	if len(s.Upstreams) > MaxUpstreams {
		return c.doc.Errorf(path+".upstreams", document.OutOfRange, fmt.Sprintf("at most %d", MaxUpstreams), "service has %d upstreams", len(s.Upstreams))
	}
	names := map[string]bool{}
	for i := range s.Upstreams {
		upstreamPath := document.Index(path+".upstreams", i)
		if err := c.checkUpstream(upstreamPath, team, s.Name, &s.Upstreams[i]); err != nil {
			return err
		}
		if name := s.Upstreams[i].Name; names[name] {
			return c.doc.Errorf(upstreamPath+".name", document.Duplicate, "a unique name", "upstream %q appears twice", name)
		}
		names[s.Upstreams[i].Name] = true
	}
	return nil
}

func (c *checker) checkUpstream(path, team, service string, u *Upstream) error {
	if err := c.doc.CheckName(path+".name", u.Name); err != nil {
		return err
	}
	if err := c.doc.CheckName(path+".failure_domain", u.FailureDomain); err != nil {
		return err
	}
	if err := c.doc.CheckRange(path+".weight", int64(u.Weight), 1, 1_000); err != nil {
		return err
	}
	return c.checkAddress(path+".address", u.Address, Use{Team: team, Service: service, Upstream: u.Name})
}

func (c *checker) checkAddress(path string, address netip.AddrPort, use Use) error {
	if err := c.doc.CheckAddress(path, address, false); err != nil {
		return err
	}
	if conflict := c.addresses.add(address, use); conflict != nil {
		return c.doc.Errorf(path, document.Duplicate, "an address of its own", "%w", conflict)
	}
	return nil
}
