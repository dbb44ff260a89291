// Package admission decides how much work may start. Limits bounds the requests of
// teams, services and the whole instance; Credits bounds the opens to upstreams that
// are cold. It performs no I/O.
package admission

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of LimitConfig.
const (
	// defaultBorrowFactor lets a team that is active alone use 4/5 of the instance's
	// concurrency and leaves 1/5 for a team that becomes active.
	defaultBorrowFactor = 4
	// defaultActivePeriod is the time for which a team counts as active after a
	// request.
	defaultActivePeriod = time.Second
	// burstDuration is the time at the full rate whose requests every rate limit
	// admits as one burst.
	burstDuration = 100 * time.Millisecond
	// cleanupInterval is the time between two removals of undeclared limits, and
	// the time for which such a limit has to be unused.
	cleanupInterval = time.Minute
)

// LimitConfig holds the limits of one instance and the settings for sharing them
// between teams.
type LimitConfig struct {
	// RequestsPerSecond and ConcurrentRequests bound the requests of all teams
	// together. Zero means no limit.
	RequestsPerSecond  float64
	ConcurrentRequests int
	// BorrowFactor bounds what a team may use beyond its fair share of the
	// concurrency: its requests in flight stay below BorrowFactor times its weight
	// times the unused concurrency. Zero selects 4.
	BorrowFactor float64
	// ActivePeriod is the time for which a team counts as active after a request.
	// Zero selects 1 s.
	ActivePeriod time.Duration
}

// ServiceLimit is the declared limit of one service or team on this instance. Zero
// means no limit.
type ServiceLimit struct {
	RequestsPerSecond  float64
	ConcurrentRequests int
}

// Scope is the kind of limit that refused a request.
type Scope int

// Scopes of a limit.
const (
	ScopeService Scope = iota + 1
	ScopeTeam
	ScopeInstance
)

var scopes = [...]string{"", "service", "team", "instance"}

// String returns the scope as a metric label.
func (s Scope) String() string { return scopes[s] }

// RateLimitError reports that a request was refused by a rate limit. Name is the
// service for ScopeService, and the team for the other scopes.
type RateLimitError struct {
	Scope Scope
	Name  string
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("request rate limit of the %v reached for %s", e.Scope, e.Name)
}

// ConcurrencyLimitError reports that a request was refused because too many are in
// flight. Name is the service for ScopeService, and the team for the other scopes;
// InFlight is the number of its requests in flight.
type ConcurrencyLimitError struct {
	Scope    Scope
	Name     string
	InFlight int
}

func (e *ConcurrencyLimitError) Error() string {
	return fmt.Sprintf("concurrency limit of the %v reached for %s with %d requests in flight",
		e.Scope, e.Name, e.InFlight)
}

// Limits admits requests within the limits of their service, their team and the
// instance. It implements request.Limiter. It is not safe for concurrent use.
type Limits struct {
	cfg               LimitConfig
	limiter           *rate.Limiter
	inFlight          int
	services          map[string]*limit
	teams             map[string]*team
	activityCheckedAt time.Time // when teams were last checked for inactivity
	cleanedAt         time.Time
}

// limit is the limit of a service or team with its current use.
type limit struct {
	declared ServiceLimit
	limiter  *rate.Limiter
	inFlight int
	lastUsed time.Time
}

// team is the limit of a team with its share of the instance's capacity.
type team struct {
	limit
	weight float64
	// fraction is the team's weight divided by the weights of all active teams.
	// shareLimiter limits the team to that fraction of the instance's rate; it is
	// nil when the instance has no rate limit. Both are set while the team is
	// active.
	fraction     float64
	shareLimiter *rate.Limiter
	isActive     bool
}

// NewLimits returns Limits without declared limits of services and teams.
func NewLimits(cfg LimitConfig) *Limits {
	if cfg.BorrowFactor == 0 {
		cfg.BorrowFactor = defaultBorrowFactor
	}
	if cfg.ActivePeriod == 0 {
		cfg.ActivePeriod = defaultActivePeriod
	}
	return &Limits{
		cfg: cfg, limiter: newLimiter(cfg.RequestsPerSecond),
		services: make(map[string]*limit), teams: make(map[string]*team),
	}
}

// SetService declares the limit of a service, named <team>/<service>. The zero
// ServiceLimit removes it.
func (limits *Limits) SetService(now time.Time, service string, declared ServiceLimit) {
	limits.serviceLimit(service).setDeclared(now, declared)
}

// SetTeam declares the limit of a team and its weight in sharing the capacity of the
// instance. A team has weight 1 until a positive weight is declared.
func (limits *Limits) SetTeam(now time.Time, name string, declared ServiceLimit, weight float64) {
	t := limits.teamLimit(name)
	t.setDeclared(now, declared)
	if weight > 0 && weight != t.weight {
		t.weight = weight
		limits.updateShares(now)
	}
}

// Acquire admits one request of a service, named <team>/<service>, or returns
// *RateLimitError or *ConcurrencyLimitError. It checks the limits of the service,
// the team and the instance, in this order. Only an admitted request uses up tokens
// of the rate limits, and it counts as in flight until Release.
func (limits *Limits) Acquire(now time.Time, teamName, service string) error {
	s, t := limits.serviceLimit(service), limits.teamLimit(teamName)
	s.lastUsed, t.lastUsed = now, now
	limits.markActive(now, t)
	if err := s.checkDeclared(now, ScopeService, service); err != nil {
		return err
	}
	if err := t.checkDeclared(now, ScopeTeam, teamName); err != nil {
		return err
	}
	if err := limits.checkInstance(now, t, teamName); err != nil {
		return err
	}
	for _, r := range []*rate.Limiter{s.limiter, t.limiter, t.shareLimiter, limits.limiter} {
		if r != nil {
			// The result is ignored, because a team may exceed its share while the
			// instance has tokens to spare.
			r.AllowN(now, 1)
		}
	}
	s.inFlight++
	t.inFlight++
	limits.inFlight++
	return nil
}

// Release ends a request that Acquire admitted.
func (limits *Limits) Release(_ time.Time, teamName, service string) {
	s, t := limits.serviceLimit(service), limits.teamLimit(teamName)
	s.inFlight--
	t.inFlight--
	limits.inFlight--
}

// checkInstance checks the limits of the instance, which it shares between teams.
//
// Concurrency: a team may use its fair share. Beyond that, the number of its requests
// in flight has to be below BorrowFactor times its weight times the unused
// concurrency. This bound shrinks with the capacity left, so that some is left for a
// team that becomes active. A team that is active alone has no fair share, only this
// bound.
//
// Rate: a team that has used up its share is admitted only while the instance's
// limiter holds at least one token more than half of its burst; these are tokens that
// the other teams leave unused.
func (limits *Limits) checkInstance(now time.Time, t *team, name string) error {
	if maxInFlight := limits.cfg.ConcurrentRequests; maxInFlight > 0 {
		free := float64(maxInFlight - limits.inFlight)
		fair := float64(maxInFlight) * t.fraction
		if t.fraction == 1 {
			// A team that is active alone has to leave capacity for a team that
			// becomes active.
			fair = 0
		}
		if free < 1 || float64(t.inFlight) >= max(fair, limits.cfg.BorrowFactor*t.weight*free) {
			return &ConcurrencyLimitError{Scope: ScopeInstance, Name: name, InFlight: t.inFlight}
		}
	}
	if limits.limiter == nil {
		return nil
	}
	tokens := limits.limiter.TokensAt(now)
	if tokens < 1 || t.shareLimiter.TokensAt(now) < 1 && tokens < 1+float64(limits.limiter.Burst())/2 {
		return &RateLimitError{Scope: ScopeInstance, Name: name}
	}
	return nil
}

// markActive marks a team as active. At most ten times per ActivePeriod it marks the
// teams without a request for that period as inactive, and it updates the shares
// when the set of active teams has changed.
func (limits *Limits) markActive(now time.Time, t *team) {
	changed := !t.isActive
	t.isActive = true
	if now.Sub(limits.activityCheckedAt) > limits.cfg.ActivePeriod/10 {
		limits.activityCheckedAt = now
		for _, other := range limits.teams {
			if other.isActive && now.Sub(other.lastUsed) > limits.cfg.ActivePeriod {
				other.isActive = false
				changed = true
			}
		}
	}
	if changed {
		limits.updateShares(now)
	}
	if now.Sub(limits.cleanedAt) > cleanupInterval {
		limits.cleanup(now)
	}
}

// updateShares computes the shares of the active teams from their weights.
func (limits *Limits) updateShares(now time.Time) {
	var sum float64
	for _, t := range limits.teams {
		if t.isActive {
			sum += t.weight
		}
	}
	for _, t := range limits.teams {
		if !t.isActive {
			continue
		}
		t.fraction = t.weight / sum
		if limits.limiter != nil {
			t.shareLimiter = setLimiterRate(now, t.shareLimiter, limits.cfg.RequestsPerSecond*t.fraction)
		}
	}
}

// cleanup removes limits that are neither declared nor in use.
func (limits *Limits) cleanup(now time.Time) {
	limits.cleanedAt = now
	for name, s := range limits.services {
		if s.unused(now) {
			delete(limits.services, name)
		}
	}
	for name, t := range limits.teams {
		if t.unused(now) && !t.isActive {
			delete(limits.teams, name)
		}
	}
}

// unused reports whether nothing is declared and no request came for cleanupInterval.
func (l *limit) unused(now time.Time) bool {
	return l.declared == (ServiceLimit{}) && l.inFlight == 0 && now.Sub(l.lastUsed) > cleanupInterval
}

// setDeclared sets the declared limit; tokens are kept when the rate changes.
func (l *limit) setDeclared(now time.Time, declared ServiceLimit) {
	if declared.RequestsPerSecond != l.declared.RequestsPerSecond {
		if declared.RequestsPerSecond <= 0 {
			l.limiter = nil
		} else {
			l.limiter = setLimiterRate(now, l.limiter, declared.RequestsPerSecond)
		}
	}
	l.declared = declared
}

// checkDeclared returns an error when the declared limit leaves no room for a request.
func (l *limit) checkDeclared(now time.Time, scope Scope, name string) error {
	if c := l.declared.ConcurrentRequests; c > 0 && l.inFlight >= c {
		return &ConcurrencyLimitError{Scope: scope, Name: name, InFlight: l.inFlight}
	}
	if l.limiter != nil && l.limiter.TokensAt(now) < 1 {
		return &RateLimitError{Scope: scope, Name: name}
	}
	return nil
}

// serviceLimit returns the limit of a service and creates it when there is none.
func (limits *Limits) serviceLimit(name string) *limit {
	s := limits.services[name]
	if s == nil {
		s = &limit{}
		limits.services[name] = s
	}
	return s
}

// teamLimit returns the limit of a team and creates it when there is none.
func (limits *Limits) teamLimit(name string) *team {
	t := limits.teams[name]
	if t == nil {
		t = &team{weight: 1}
		limits.teams[name] = t
	}
	return t
}

// newLimiter returns a limiter of perSecond requests, nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), burstTokens(perSecond))
}

// setLimiterRate changes the rate of a limiter and keeps its tokens. A nil limiter is
// replaced by a new one.
func setLimiterRate(now time.Time, r *rate.Limiter, perSecond float64) *rate.Limiter {
	if r == nil {
		return newLimiter(perSecond)
	}
	r.SetLimitAt(now, rate.Limit(perSecond))
	r.SetBurstAt(now, burstTokens(perSecond))
	return r
}

// burstTokens returns the burst of a rate limit, 2 at least.
func burstTokens(perSecond float64) int {
	return max(2, int(math.Ceil(perSecond*burstDuration.Seconds())))
}
