// Package admission decides how much work may start: limits per team and
// service, and credits for upstreams in cold start. It performs no I/O.
package admission

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of LimitConfig.
const (
	// defaultBorrow lets a single active team use 4/5 of the instance's
	// concurrency and leaves 1/5 for a team that becomes active.
	defaultBorrow = 4
	// defaultActive is how long a team counts as active after a request.
	defaultActive = time.Second
	// burstTime is the burst of every rate limit, as time at the full rate.
	burstTime = 100 * time.Millisecond
	// cleanupInterval is how often limits without declaration are dropped.
	cleanupInterval = time.Minute
)

// LimitConfig bounds the work of one instance. Zero means no limit.
type LimitConfig struct {
	// RequestsPerSecond and ConcurrentRequests are shared by all teams.
	RequestsPerSecond  float64
	ConcurrentRequests int
	// Borrow is the factor of the dynamic threshold: a team may have at most
	// Borrow times its weight times the unused concurrency in flight.
	Borrow float64
	// Active is how long a team counts as active after a request.
	Active time.Duration
}

// ServiceLimit bounds the work of one service or team on this instance. Zero
// means no limit.
type ServiceLimit struct {
	RequestsPerSecond  float64
	ConcurrentRequests int
}

// Scope says whose limit is used up.
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

// RateLimitError says that a rate is used up.
type RateLimitError struct {
	Scope Scope
	Name  string
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("the request rate of %v %s is used up", e.Scope, e.Name)
}

// ConcurrencyLimitError says that too many requests are in flight.
type ConcurrencyLimitError struct {
	Scope    Scope
	Name     string
	InFlight int
}

func (e *ConcurrencyLimitError) Error() string {
	return fmt.Sprintf("%v %s has %d requests in flight", e.Scope, e.Name, e.InFlight)
}

// Limits admits requests. It implements request.Limiter. It is not safe for
// concurrent use.
type Limits struct {
	cfg      LimitConfig
	rate     *rate.Limiter
	inFlight int
	services map[string]*limit
	teams    map[string]*team
	looked   time.Time // when teams were last checked for activity
	cleaned  time.Time
}

// limit is a declared limit with its use.
type limit struct {
	declared ServiceLimit
	rate     *rate.Limiter
	inFlight int
	lastUsed time.Time
}

// team is the limit of a team with its share of the instance.
type team struct {
	limit
	weight float64
	// fraction is the team's part of the instance among active teams, and
	// share the limiter of that part of the rate.
	fraction float64
	share    *rate.Limiter
	isActive bool
}

// NewLimits returns limits without declarations.
func NewLimits(cfg LimitConfig) *Limits {
	if cfg.Borrow == 0 {
		cfg.Borrow = defaultBorrow
	}
	if cfg.Active == 0 {
		cfg.Active = defaultActive
	}
	return &Limits{
		cfg: cfg, rate: newRate(cfg.RequestsPerSecond),
		services: make(map[string]*limit), teams: make(map[string]*team),
	}
}

// SetService declares the limit of a service, named <team>/<service>.
func (l *Limits) SetService(now time.Time, service string, declared ServiceLimit) {
	l.service(service).set(now, declared)
}

// SetTeam declares the limit of a team and its weight in the sharing of the
// instance; the default weight is 1.
func (l *Limits) SetTeam(now time.Time, name string, declared ServiceLimit, weight float64) {
	t := l.team(name)
	t.set(now, declared)
	if weight > 0 && weight != t.weight {
		t.weight = weight
		l.setShares(now)
	}
}

// Acquire admits one request or fails with *RateLimitError or
// *ConcurrencyLimitError.
func (l *Limits) Acquire(now time.Time, teamName, service string) error {
	s, t := l.service(service), l.team(teamName)
	s.lastUsed, t.lastUsed = now, now
	l.activate(now, t)
	if err := s.check(now, ScopeService, service); err != nil {
		return err
	}
	if err := t.check(now, ScopeTeam, teamName); err != nil {
		return err
	}
	if err := l.checkInstance(now, t, teamName); err != nil {
		return err
	}
	for _, r := range []*rate.Limiter{s.rate, t.rate, t.share, l.rate} {
		if r != nil {
			// The share may be exceeded while the instance has rate to spare.
			r.AllowN(now, 1)
		}
	}
	s.inFlight++
	t.inFlight++
	l.inFlight++
	return nil
}

// Release ends an admitted request.
func (l *Limits) Release(_ time.Time, teamName, service string) {
	s, t := l.service(service), l.team(teamName)
	s.inFlight--
	t.inFlight--
	l.inFlight--
}

// checkInstance shares the instance's capacity between teams. Beyond its fair
// share of the concurrency, a team is under a dynamic threshold: what it may
// hold shrinks with the capacity left, so some is left for a team that starts.
// A team beyond its share of the rate gets only what the others leave: the
// upper half of the burst.
func (l *Limits) checkInstance(now time.Time, t *team, name string) error {
	if limit := l.cfg.ConcurrentRequests; limit > 0 {
		free := float64(limit - l.inFlight)
		fair := float64(limit) * t.fraction
		if t.fraction == 1 {
			// A team that is active alone leaves room for others at once.
			fair = 0
		}
		if free < 1 || float64(t.inFlight) >= max(fair, l.cfg.Borrow*t.weight*free) {
			return &ConcurrencyLimitError{Scope: ScopeInstance, Name: name, InFlight: t.inFlight}
		}
	}
	if l.rate == nil {
		return nil
	}
	tokens := l.rate.TokensAt(now)
	if tokens < 1 || t.share.TokensAt(now) < 1 && tokens < 1+float64(l.rate.Burst())/2 {
		return &RateLimitError{Scope: ScopeInstance, Name: name}
	}
	return nil
}

// activate marks a team active and adapts the shares when the set of active
// teams changes.
func (l *Limits) activate(now time.Time, t *team) {
	changed := !t.isActive
	t.isActive = true
	if now.Sub(l.looked) > l.cfg.Active/10 {
		l.looked = now
		for _, other := range l.teams {
			if other.isActive && now.Sub(other.lastUsed) > l.cfg.Active {
				other.isActive = false
				changed = true
			}
		}
	}
	if changed {
		l.setShares(now)
	}
	if now.Sub(l.cleaned) > cleanupInterval {
		l.cleanup(now)
	}
}

func (l *Limits) setShares(now time.Time) {
	var sum float64
	for _, t := range l.teams {
		if t.isActive {
			sum += t.weight
		}
	}
	for _, t := range l.teams {
		if !t.isActive {
			continue
		}
		t.fraction = t.weight / sum
		if l.rate != nil {
			t.share = adapt(now, t.share, l.cfg.RequestsPerSecond*t.fraction)
		}
	}
}

// cleanup drops limits that are neither declared nor used.
func (l *Limits) cleanup(now time.Time) {
	l.cleaned = now
	for name, s := range l.services {
		if s.idle(now) {
			delete(l.services, name)
		}
	}
	for name, t := range l.teams {
		if t.idle(now) && !t.isActive {
			delete(l.teams, name)
		}
	}
}

func (l *limit) idle(now time.Time) bool {
	return l.declared == (ServiceLimit{}) && l.inFlight == 0 && now.Sub(l.lastUsed) > cleanupInterval
}

func (l *limit) set(now time.Time, declared ServiceLimit) {
	if declared.RequestsPerSecond != l.declared.RequestsPerSecond {
		if declared.RequestsPerSecond <= 0 {
			l.rate = nil
		} else {
			l.rate = adapt(now, l.rate, declared.RequestsPerSecond)
		}
	}
	l.declared = declared
}

func (l *limit) check(now time.Time, scope Scope, name string) error {
	if c := l.declared.ConcurrentRequests; c > 0 && l.inFlight >= c {
		return &ConcurrencyLimitError{Scope: scope, Name: name, InFlight: l.inFlight}
	}
	if l.rate != nil && l.rate.TokensAt(now) < 1 {
		return &RateLimitError{Scope: scope, Name: name}
	}
	return nil
}

func (l *Limits) service(name string) *limit {
	s := l.services[name]
	if s == nil {
		s = &limit{}
		l.services[name] = s
	}
	return s
}

func (l *Limits) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{weight: 1}
		l.teams[name] = t
	}
	return t
}

func newRate(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
}

// adapt changes the rate of a limiter and keeps its tokens.
func adapt(now time.Time, r *rate.Limiter, perSecond float64) *rate.Limiter {
	if r == nil {
		return newRate(perSecond)
	}
	r.SetLimitAt(now, rate.Limit(perSecond))
	r.SetBurstAt(now, burst(perSecond))
	return r
}

func burst(perSecond float64) int {
	return max(2, int(math.Ceil(perSecond*burstTime.Seconds())))
}
