// Package declare holds the declarations that operators keep in version
// control: one subtree per team with its services and their upstreams.
package declare

import (
	"net/netip"
	"time"
)

// Team is the subtree of one team, the value of the object teams/<name>.
type Team struct {
	Name     string    `json:"name"`
	Services []Service `json:"services"`
	// Released lists addresses that the team gave up in the last 24 h. Only
	// stored objects contain it; see Released.
	Released []Release `json:"released,omitempty"`
}

// Service is a service address and the upstreams behind it.
type Service struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// IdleTimeoutSeconds is the time after which a silent flow is over.
	// Default 300, range 1 to 86,400.
	IdleTimeoutSeconds int `json:"idle_timeout_seconds,omitempty"`
	// MaxRequestTimeoutMS bounds how far ahead a deadline may lie. Default
	// 5,000, range 10 to 5,000.
	MaxRequestTimeoutMS int        `json:"max_request_timeout_ms,omitempty"`
	ColdStart           ColdStart  `json:"cold_start,omitempty"`
	Limits              Limits     `json:"limits,omitempty"`
	Upstreams           []Upstream `json:"upstreams"`
}

// ColdStart is what an upstream can sustain after it has started.
type ColdStart struct {
	// SustainableOpensPerSecond is the rate of new flows and requests that a
	// cold upstream can sustain. Default 10, range 1 to 100,000.
	SustainableOpensPerSecond int `json:"sustainable_opens_per_second,omitempty"`
	// RampSeconds is the time from cold to full load. Default 30, range 1 to
	// 3,600.
	RampSeconds int `json:"ramp_seconds,omitempty"`
}

// Limits bound the work that a service takes on each instance.
type Limits struct {
	// RequestsPerSecond is the rate per instance; 0 for no limit.
	RequestsPerSecond int `json:"requests_per_second,omitempty"`
	// ConcurrentRequests is the number in flight per instance; 0 for no
	// limit.
	ConcurrentRequests int `json:"concurrent_requests,omitempty"`
}

// Upstream is a back end of a service.
type Upstream struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure_domain"`
	// Weight is the share of new flows relative to the other upstreams.
	// Default 100, range 1 to 1,000.
	Weight int `json:"weight,omitempty"`
	// Draining stops new work; established flows go on.
	Draining bool `json:"draining,omitempty"`
}

// IdleTimeout returns the idle timeout, with its default.
func (s *Service) IdleTimeout() time.Duration {
	if s.IdleTimeoutSeconds == 0 {
		return defaultIdleTimeout
	}
	return time.Duration(s.IdleTimeoutSeconds) * time.Second
}

// MaxRequestTimeout returns how far ahead a deadline may lie, with its
// default.
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
