package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a service or team that exceeds its declared limits, and against a
// refused request that uses up tokens of the instance's rate limit.
func TestDeclaredLimits(t *testing.T) {
	for caseName, c := range map[string]struct {
		service, team ServiceLimit
		want          error
	}{
		"service rate":        {service: ServiceLimit{RequestsPerSecond: 20}, want: &RateLimitError{Scope: ScopeService, Name: "a/s"}},
		"team rate":           {team: ServiceLimit{RequestsPerSecond: 20}, want: &RateLimitError{Scope: ScopeTeam, Name: "a"}},
		"service concurrency": {service: ServiceLimit{ConcurrentRequests: 2}, want: &ConcurrencyLimitError{ScopeService, "a/s", 2}},
		"team concurrency":    {team: ServiceLimit{ConcurrentRequests: 2}, want: &ConcurrencyLimitError{ScopeTeam, "a", 2}},
	} {
		t.Run(caseName, func(t *testing.T) {
			limits := NewLimits(LimitConfig{RequestsPerSecond: 1000, ConcurrentRequests: 100})
			limits.SetService(epoch, "a/s", c.service)
			limits.SetTeam(epoch, "a", c.team, 1)
			require.NoError(t, limits.Acquire(epoch, "a", "a/s"))
			require.NoError(t, limits.Acquire(epoch, "a", "a/s"))
			tokens := limits.limiter.TokensAt(epoch)
			require.Equal(t, c.want, limits.Acquire(epoch, "a", "a/s"))
			require.InDelta(t, tokens, limits.limiter.TokensAt(epoch), 1e-9)
			limits.Release(epoch, "a", "a/s")
			require.NoError(t, limits.Acquire(epoch.Add(time.Second), "a", "a/s"))
		})
	}
}

// admittedRates offers requests of the teams for 20 s, at offered requests per second
// and 100 ms in flight each, and returns the requests per second of each team that
// were admitted in the second half.
func admittedRates(cfg LimitConfig, offered map[string]int) map[string]float64 {
	limits := NewLimits(cfg)
	admitted := map[string]float64{}
	const seconds, perSecond = 20, 1000
	var inFlight [][]string
	for i := range seconds * perSecond {
		now := epoch.Add(time.Duration(i) * time.Second / perSecond)
		var admittedNow []string
		// Team "a", which offers most, comes first every time.
		for _, team := range []string{"a", "b", "c"} {
			for range offered[team]*(i+1)/perSecond - offered[team]*i/perSecond {
				if limits.Acquire(now, team, team+"/s") == nil {
					admittedNow = append(admittedNow, team)
					if i >= seconds*perSecond/2 {
						admitted[team] += 2.0 / seconds
					}
				}
			}
		}
		if inFlight = append(inFlight, admittedNow); len(inFlight) > perSecond/10 {
			for _, team := range inFlight[0] {
				limits.Release(now, team, team+"/s")
			}
			inFlight = inFlight[1:]
		}
	}
	return admitted
}

// Guards against an overloaded team that takes the capacity of others: a team within
// its share is admitted in full, teams beyond their share divide the rest, and
// capacity that no other team uses is available to them.
func TestOverloadOfOneTeamDoesNotStarveAnother(t *testing.T) {
	rate := LimitConfig{RequestsPerSecond: 300}
	concurrency := LimitConfig{ConcurrentRequests: 30}
	for caseName, c := range map[string]struct {
		cfg     LimitConfig
		offered map[string]int
		minimum map[string]float64
	}{
		"rate, one active team": {rate, map[string]int{"a": 3000}, map[string]float64{"a": 290}},
		"rate, one team above share": {
			rate, map[string]int{"a": 3000, "b": 50, "c": 20},
			map[string]float64{"a": 200, "b": 49, "c": 19},
		},
		"rate, three teams above share": {
			rate, map[string]int{"a": 9000, "b": 900, "c": 900},
			map[string]float64{"a": 90, "b": 90, "c": 90},
		},
		"concurrency, one active team": {concurrency, map[string]int{"a": 3000}, map[string]float64{"a": 230}},
		"concurrency, one team above share": {
			concurrency, map[string]int{"a": 3000, "b": 50},
			map[string]float64{"a": 180, "b": 49},
		},
		"concurrency, three teams above share": {
			concurrency, map[string]int{"a": 9000, "b": 900, "c": 900},
			map[string]float64{"a": 90, "b": 90, "c": 90},
		},
		"no limits": {LimitConfig{}, map[string]int{"a": 3000}, map[string]float64{"a": 2999}},
	} {
		t.Run(caseName, func(t *testing.T) {
			admitted := admittedRates(c.cfg, c.offered)
			t.Log("admitted per second:", admitted)
			for team, minimum := range c.minimum {
				require.GreaterOrEqual(t, admitted[team], minimum, team)
			}
		})
	}
}
