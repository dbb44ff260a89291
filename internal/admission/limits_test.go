package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a service or team that exceeds its declared limits, and
// against a refused request that uses up tokens of another limit.
func TestDeclaredLimits(t *testing.T) {
	for label, c := range map[string]struct {
		service, team ServiceLimit
		want          error
	}{
		"service rate":        {service: ServiceLimit{RequestsPerSecond: 20}, want: &RateLimitError{Scope: ScopeService, Name: "a/s"}},
		"team rate":           {team: ServiceLimit{RequestsPerSecond: 20}, want: &RateLimitError{Scope: ScopeTeam, Name: "a"}},
		"service concurrency": {service: ServiceLimit{ConcurrentRequests: 2}, want: &ConcurrencyLimitError{ScopeService, "a/s", 2}},
		"team concurrency":    {team: ServiceLimit{ConcurrentRequests: 2}, want: &ConcurrencyLimitError{ScopeTeam, "a", 2}},
	} {
		t.Run(label, func(t *testing.T) {
			l := NewLimits(LimitConfig{RequestsPerSecond: 1000, ConcurrentRequests: 100})
			l.SetService(epoch, "a/s", c.service)
			l.SetTeam(epoch, "a", c.team, 1)
			require.NoError(t, l.Acquire(epoch, "a", "a/s"))
			require.NoError(t, l.Acquire(epoch, "a", "a/s"))
			tokens := l.rate.TokensAt(epoch)
			require.Equal(t, c.want, l.Acquire(epoch, "a", "a/s"))
			require.InDelta(t, tokens, l.rate.TokensAt(epoch), 1e-9)
			l.Release(epoch, "a", "a/s")
			require.NoError(t, l.Acquire(epoch.Add(time.Second), "a", "a/s"))
		})
	}
}

// load offers requests of teams for 20 s, each held for 100 ms, and returns
// the requests per second that were admitted in the second half.
func load(cfg LimitConfig, offered map[string]int) map[string]float64 {
	l := NewLimits(cfg)
	admitted := map[string]float64{}
	const seconds, perSecond = 20, 1000
	var held [][]string
	for i := range seconds * perSecond {
		now := epoch.Add(time.Duration(i) * time.Second / perSecond)
		var admittedNow []string
		// The greedy team "a" comes first every time.
		for _, team := range []string{"a", "b", "c"} {
			for range offered[team]*(i+1)/perSecond - offered[team]*i/perSecond {
				if l.Acquire(now, team, team+"/s") == nil {
					admittedNow = append(admittedNow, team)
					if i >= seconds*perSecond/2 {
						admitted[team] += 2.0 / seconds
					}
				}
			}
		}
		if held = append(held, admittedNow); len(held) > perSecond/10 {
			for _, team := range held[0] {
				l.Release(now, team, team+"/s")
			}
			held = held[1:]
		}
	}
	return admitted
}

// Guards against a team's overload that starves another team: a team within
// its share gets what it offers, teams beyond it share the rest, and capacity
// that nobody else wants is not left idle.
func TestOverloadOfOneTeamDoesNotStarveAnother(t *testing.T) {
	rate := LimitConfig{RequestsPerSecond: 300}
	slots := LimitConfig{ConcurrentRequests: 30}
	for label, c := range map[string]struct {
		cfg     LimitConfig
		offered map[string]int
		least   map[string]float64
	}{
		"rate, alone":          {rate, map[string]int{"a": 3000}, map[string]float64{"a": 290}},
		"rate, one greedy":     {rate, map[string]int{"a": 3000, "b": 50, "c": 20}, map[string]float64{"a": 200, "b": 49, "c": 19}},
		"rate, three greedy":   {rate, map[string]int{"a": 9000, "b": 900, "c": 900}, map[string]float64{"a": 90, "b": 90, "c": 90}},
		"slots, alone":         {slots, map[string]int{"a": 3000}, map[string]float64{"a": 230}},
		"slots, one greedy":    {slots, map[string]int{"a": 3000, "b": 50}, map[string]float64{"a": 180, "b": 49}},
		"slots, three greedy":  {slots, map[string]int{"a": 9000, "b": 900, "c": 900}, map[string]float64{"a": 90, "b": 90, "c": 90}},
		"unlimited, no bounds": {LimitConfig{}, map[string]int{"a": 3000}, map[string]float64{"a": 2999}},
	} {
		t.Run(label, func(t *testing.T) {
			admitted := load(c.cfg, c.offered)
			t.Log("admitted per second:", admitted)
			for team, least := range c.least {
				require.GreaterOrEqual(t, admitted[team], least, team)
			}
		})
	}
}
