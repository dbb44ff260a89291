package upstream

import "time"

// coldStart limits the rate of new flows after a boot.
type coldStart struct {
	// since is zero when the upstream is warm for good.
	since  time.Time
	filled time.Time
	// tokens is the number of OPENs that may arrive at once.
	tokens float64
	// recent holds the times of the OPENs of the last second.
	recent []time.Time
}

func (c *coldStart) begin(now time.Time, cfg ColdStart) {
	*c = coldStart{}
	if cfg.Ramp > 0 {
		*c = coldStart{since: now, filled: now, tokens: capacity(cfg.OpensPerSecond, cfg)}
	}
}

func (c *coldStart) active(now time.Time, cfg ColdStart) bool {
	return !c.since.IsZero() && now.Sub(c.since) < cfg.Ramp
}

// sustainable returns the rate of OPENs per second at a time of the ramp.
func (c *coldStart) sustainable(now time.Time, cfg ColdStart) float64 {
	share := min(1, max(0, float64(now.Sub(c.since))/float64(cfg.Ramp)))
	return cfg.OpensPerSecond + share*(cfg.FullOpensPerSecond-cfg.OpensPerSecond)
}

func capacity(rate float64, cfg ColdStart) float64 { return max(1, rate*cfg.Burst.Seconds()) }

// admit takes one OPEN. It returns the OPENs of the last second relative to
// the sustainable rate, and whether the upstream sustains this one.
func (c *coldStart) admit(now time.Time, cfg ColdStart) (float64, bool) {
	rate := c.sustainable(now, cfg)
	c.tokens = min(capacity(rate, cfg), c.tokens+rate*now.Sub(c.filled).Seconds())
	c.filled = now
	for len(c.recent) > 0 && now.Sub(c.recent[0]) >= time.Second {
		c.recent = c.recent[1:]
	}
	c.recent = append(c.recent, now)
	ratio := float64(len(c.recent)) / max(rate, 1)
	if c.tokens < 1 {
		return ratio, false
	}
	c.tokens--
	return ratio, true
}
