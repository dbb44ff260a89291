// Package declare defines, parses, validates and compares the declarations that
// operators keep in version control: one subtree of objects per team, with its
// services and their upstreams.
package declare

import (
	"net/netip"
	"time"
)

// Team is the declaration of one team, the value of the object teams/<name>.
type Team struct {
	Name     string    `json:"name"`
	Services []Service `json:"services"`
	// Released lists the addresses that the team released within the last 24 h.
	// Only stored objects contain it; see the function Released.
	Released []Release `json:"released,omitempty"`
}

// Service is a service address and the upstreams that serve it.
type Service struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// IdleTimeoutSeconds is the time without packets after which a flow ends, in
	// seconds. Default 300, range 1 to 86,400.
	IdleTimeoutSeconds int `json:"idle_timeout_seconds,omitempty"`
	// MaxRequestTimeoutMS is the largest time until the deadline of a request,
	// in ms. Default 5,000, range 10 to 5,000.
	MaxRequestTimeoutMS int        `json:"max_request_timeout_ms,omitempty"`
	ColdStart           ColdStart  `json:"cold_start,omitempty"`
	Limits              Limits     `json:"limits,omitempty"`
	Upstreams           []Upstream `json:"upstreams"`
}

// ColdStart describes the load that an upstream can take after it has started.
type ColdStart struct {
	// SustainableOpensPerSecond is the rate of new flows and requests that a cold
	// upstream can sustain, per second. Default 10, range 1 to 100,000.
	SustainableOpensPerSecond int `json:"sustainable_opens_per_second,omitempty"`
	// RampSeconds is the time from the start of an upstream to its full load, in
	// seconds. Default 30, range 1 to 3,600.
	RampSeconds int `json:"ramp_seconds,omitempty"`
}

// Limits bounds the requests that each instance accepts for a service.
type Limits struct {
	// RequestsPerSecond is the highest rate of requests per instance; 0 means no
	// limit.
	RequestsPerSecond int `json:"requests_per_second,omitempty"`
	// ConcurrentRequests is the highest number of requests in flight per
	// instance; 0 means no limit.
	ConcurrentRequests int `json:"concurrent_requests,omitempty"`
}

// Upstream is a server of a service.
type Upstream struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure_domain"`
	// Weight is the share of new flows relative to the other upstreams.
	// Default 100, range 1 to 1,000.
	Weight int `json:"weight,omitempty"`
	// Draining keeps new flows and requests away from the upstream; established
	// flows go on.
	Draining bool `json:"draining,omitempty"`
}

// IdleTimeout returns the idle timeout of flows, or its default if none is set.
func (s *Service) IdleTimeout() time.Duration {
	if s.IdleTimeoutSeconds == 0 {
		return defaultIdleTimeout
	}
	return time.Duration(s.IdleTimeoutSeconds) * time.Second
}

// MaxRequestTimeout returns the largest time until the deadline of a request, or
// its default if none is set.
func (s *Service) MaxRequestTimeout() time.Duration {
	if s.MaxRequestTimeoutMS == 0 {
		return defaultMaxRequestTimeout
	}
	return time.Duration(s.MaxRequestTimeoutMS) * time.Millisecond
}

const (
	defaultIdleTimeout       = 300 * time.Second
	defaultMaxRequestTimeout = 5 * time.Second
)
