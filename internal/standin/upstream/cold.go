package upstream

import "time"

// coldStart is a token bucket that limits the rate of new flows after a boot.
// Its rate rises linearly from ColdStart.OpensPerSecond to
// ColdStart.FullOpensPerSecond over ColdStart.Ramp.
type coldStart struct {
	// startedAt is the start of the ramp, or zero if the boot has no cold start.
	startedAt time.Time
	// refilledAt is when tokens was last updated.
	refilledAt time.Time
	// tokens is the number of OPENs that may arrive at once.
	tokens float64
	// recentOpens contains the times of the OPENs within the last second, oldest
	// first. Entries are removed by admitOpen.
	recentOpens []time.Time
}

func (c *coldStart) start(now time.Time, cfg ColdStart) {
	*c = coldStart{}
	if cfg.Ramp > 0 {
		*c = coldStart{startedAt: now, refilledAt: now, tokens: bucketSize(cfg.OpensPerSecond, cfg)}
	}
}

func (c *coldStart) isActive(now time.Time, cfg ColdStart) bool {
	return !c.startedAt.IsZero() && now.Sub(c.startedAt) < cfg.Ramp
}

// sustainableRate returns the rate of OPENs per second that the upstream can
// sustain at now.
func (c *coldStart) sustainableRate(now time.Time, cfg ColdStart) float64 {
	share := min(1, max(0, float64(now.Sub(c.startedAt))/float64(cfg.Ramp)))
	return cfg.OpensPerSecond + share*(cfg.FullOpensPerSecond-cfg.OpensPerSecond)
}

func bucketSize(rate float64, cfg ColdStart) float64 { return max(1, rate*cfg.Burst.Seconds()) }

// admitOpen accounts for one OPEN that arrives at now. It returns the number of
// OPENs within the last second divided by the sustainable rate (at least 1 per
// second), and whether a token was left for this OPEN.
func (c *coldStart) admitOpen(now time.Time, cfg ColdStart) (float64, bool) {
	rate := c.sustainableRate(now, cfg)
	c.tokens = min(bucketSize(rate, cfg), c.tokens+rate*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
	for len(c.recentOpens) > 0 && now.Sub(c.recentOpens[0]) >= time.Second {
		c.recentOpens = c.recentOpens[1:]
	}
	c.recentOpens = append(c.recentOpens, now)
	ratio := float64(len(c.recentOpens)) / max(rate, 1)
	if c.tokens < 1 {
		return ratio, false
	}
	c.tokens--
	return ratio, true
}
