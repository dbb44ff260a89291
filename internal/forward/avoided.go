package forward

import (
	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/speed"
)

// maxAvoided is the maximum number of upstreams kept for TakeAvoided.
const maxAvoided = 64

// AvoidReason says why new flows begin to avoid an upstream. It is written to the log.
type AvoidReason int

// Reasons.
const (
	// AvoidBehindOthers: see speed.BehindOthers.
	AvoidBehindOthers AvoidReason = iota
	// AvoidRefusesMore: see speed.RefusesMore.
	AvoidRefusesMore
)

// AvoidReasonLabels holds the label of each reason, indexed by AvoidReason.
var AvoidReasonLabels = []string{speed.BehindOthers.String(), speed.RefusesMore.String()}

func (r AvoidReason) String() string { return AvoidReasonLabels[r] }

// AvoidedUpstream is an upstream that new flows begin to avoid while others can take them.
type AvoidedUpstream struct {
	Upstream *catalog.Entry
	Reason   AvoidReason
	// Value is the number of requests in flight per slot of the upstream, or its share of
	// short responses; Others is that of the others.
	Value, Others float64
}

// TakeAvoided returns and removes the upstreams that new flows have begun to avoid since the
// last call. At most maxAvoided are kept between two calls.
func (e *Engine) TakeAvoided() []AvoidedUpstream {
	avoided := e.speed.avoided
	e.speed.avoided = nil
	return avoided
}

// recordAvoided keeps an upstream for TakeAvoided.
func (e *Engine) recordAvoided(avoided AvoidedUpstream) {
	if len(e.speed.avoided) < maxAvoided {
		e.speed.avoided = append(e.speed.avoided, avoided)
	}
}
