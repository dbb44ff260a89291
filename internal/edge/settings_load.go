package edge

import (
	"time"

	"github.com/chivemast/chivemast/internal/document"
	"github.com/chivemast/chivemast/internal/forward"
)

// OverloadSettings say what happens while upstreams are short of capacity.
type OverloadSettings struct {
	// OverloadControl turns on the reports of requests in flight, the choices that rest on
	// them, and the admission of new flows by priority. Default false.
	OverloadControl bool `json:"overload_control"`
	// AdmissionWaitShare is the share of its route's latency goal that the answer to a new
	// flow of a lower priority is expected to take at most; beyond that the flow is refused
	// while capacity is short. Default 0.5, range 0.05 to 1. A reload changes it.
	AdmissionWaitShare float64 `json:"admission_wait_share"`
	// AdmissionFloor is the share of the callers of a lower priority whose flows are
	// admitted even so. Default 0.02, range 0 to 1. A reload changes it.
	AdmissionFloor float64 `json:"admission_floor"`
}

// HedgeSettings limit the extra attempts for requests that may be repeated.
type HedgeSettings struct {
	// HedgeShare is the number of extra attempts as a share of the attempts of idempotent
	// routes. Default 0, range 0 to 0.2. A reload changes it.
	HedgeShare float64 `json:"hedge_share"`
	// HedgeMinDelayMS is the least time between an attempt and its extra attempt, in ms.
	// Default 10, range 1 to 200. A reload changes it.
	HedgeMinDelayMS int64 `json:"hedge_min_delay_ms"`
}

// Defaults of OverloadSettings and HedgeSettings.
const (
	// defaultAdmissionWaitShare leaves half of the goal for the work and for the caller's
	// next try.
	defaultAdmissionWaitShare = 0.5
	defaultAdmissionFloor     = 0.02
	// defaultHedgeMinDelayMS is more than twice the users' longest round trip through an
	// instance.
	defaultHedgeMinDelayMS = 10
)

func (s *OverloadSettings) setDefaults() {
	s.AdmissionWaitShare, s.AdmissionFloor = defaultAdmissionWaitShare, defaultAdmissionFloor
}

func (s *OverloadSettings) check(doc *document.Document) error {
	return firstError(
		checkFloat(doc, "admission_wait_share", s.AdmissionWaitShare, 0.05, 1),
		checkFloat(doc, "admission_floor", s.AdmissionFloor, 0, 1),
	)
}

func (s *HedgeSettings) setDefaults() { s.HedgeMinDelayMS = defaultHedgeMinDelayMS }

func (s *HedgeSettings) check(doc *document.Document) error {
	return firstError(
		checkFloat(doc, "hedge_share", s.HedgeShare, 0, 0.2),
		doc.CheckRange("hedge_min_delay_ms", s.HedgeMinDelayMS, 1, 200),
	)
}

// limits returns the settings that a reload changes while flows are decided.
func (s *Settings) limits() forward.Limits {
	return forward.Limits{
		AdmissionWaitShare: s.AdmissionWaitShare, AdmissionFloor: s.AdmissionFloor,
		HedgeShare: s.HedgeShare, HedgeMinDelay: time.Duration(s.HedgeMinDelayMS) * time.Millisecond,
	}
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
