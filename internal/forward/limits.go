package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/hedge"
)

// Limits holds the settings of an Engine that may change while it runs.
type Limits struct {
	// AdmissionWaitShare is the share of its route's latency goal that the answer to a new
	// flow of a lower priority may be expected to take while capacity is short.
	AdmissionWaitShare float64
	// AdmissionFloor is the share of the callers of a lower priority that are admitted even
	// so.
	AdmissionFloor float64
	// HedgeShare is the number of extra attempts as a share of the attempts of idempotent
	// routes.
	HedgeShare float64
	// HedgeMinDelay is the least time between an attempt and its extra attempt.
	HedgeMinDelay time.Duration
}

// SetLimits replaces the limits.
func (e *Engine) SetLimits(limits Limits) {
	if limits.HedgeShare < e.cfg.HedgeShare {
		// What was earned with the larger share would pay for a second of extra attempts above
		// the new one.
		e.hedging.budget = hedge.Budget{}
	}
	e.cfg.Limits = limits
	if limits.HedgeShare <= 0 {
		e.stopHedging()
	}
}
