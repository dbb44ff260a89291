package declare

import (
	"fmt"
	"net/netip"
	"regexp"

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

// nameForm is the form of names. They are parts of object keys, so that "/"
// is excluded.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameAllowed = "lower-case letters, digits and inner hyphens, 1 to 63 characters"

// ValidName tells whether a name has the form of team, service, upstream,
// instance and failure domain names.
func ValidName(name string) bool { return nameForm.MatchString(name) }

// checker validates one or more documents of the same team.
type checker struct {
	doc       *document.Document
	services  map[string]string
	addresses *addressBook
}

func (c *checker) team(t *Team) error {
	if err := c.name("name", t.Name); err != nil {
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
	return nil
}

func (c *checker) service(path, team string, s *Service) error {
	if err := c.name(path+".name", s.Name); err != nil {
		return err
	}
	if first, ok := c.services[s.Name]; ok {
		return c.doc.Errorf(path+".name", document.Duplicate, "a unique name", "service %q is also declared at %s", s.Name, first)
	}
	c.services[s.Name] = path
	for _, r := range []struct {
		key             string
		value, low, top int
	}{
		{"idle_timeout_seconds", s.IdleTimeoutSeconds, 1, 86_400},
		{"max_request_timeout_ms", s.MaxRequestTimeoutMS, 10, 5_000},
		{"cold_start.sustainable_opens_per_second", s.ColdStart.SustainableOpensPerSecond, 1, 100_000},
		{"cold_start.ramp_seconds", s.ColdStart.RampSeconds, 1, 3_600},
		{"limits.requests_per_second", s.Limits.RequestsPerSecond, 0, 10_000_000},
		{"limits.concurrent_requests", s.Limits.ConcurrentRequests, 0, 10_000_000},
	} {
		if err := c.within(path+"."+r.key, r.value, r.low, r.top); err != nil {
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
	if err := c.name(path+".name", u.Name); err != nil {
		return err
	}
	if err := c.name(path+".failure_domain", u.FailureDomain); err != nil {
		return err
	}
	if err := c.within(path+".weight", u.Weight, 1, 1_000); err != nil {
		return err
	}
	return c.address(path+".address", u.Address, Use{Team: team, Service: service, Upstream: u.Name})
}

func (c *checker) name(path, name string) error {
	switch {
	case name == "":
		return c.doc.Errorf(path, document.Missing, nameAllowed, "required key is missing or empty")
	case !ValidName(name):
		return c.doc.Errorf(path, document.OutOfRange, nameAllowed, "name %q is malformed", name)
	}
	return nil
}

func (c *checker) within(path string, value, low, top int) error {
	if value < low || value > top {
		return c.doc.Errorf(path, document.OutOfRange, fmt.Sprintf("%d to %d", low, top), "%d is outside the range", value)
	}
	return nil
}

func (c *checker) address(path string, address netip.AddrPort, use Use) error {
	const allowed = "ip:port with a specified IP and port 1 to 65535"
	switch {
	case !address.IsValid():
		return c.doc.Errorf(path, document.Missing, allowed, "required key is missing or empty")
	case address.Addr().Is4In6() || address.Addr().Zone() != "":
		// The same host would have two spellings, or another one per instance.
		return c.doc.Errorf(path, document.OutOfRange, allowed, "%s is an IPv6-mapped IPv4 address or has a zone", address)
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return c.doc.Errorf(path, document.OutOfRange, allowed, "%s is not a unicast address with a port", address)
	}
	if conflict := c.addresses.add(address, use); conflict != nil {
		return c.doc.Errorf(path, document.Duplicate, "an address of its own", "%w", conflict)
	}
	return nil
}
