// Package domain decides which failure domains may receive packets: those
// that operators have not taken out and that the freshness rule allows.
package domain

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/membership"
)

// FreshnessLimit is how old the platform's confirmation, or the last contact
// with an instance of a failure domain, may be before packets to that domain
// stop. It leaves 1 s of the 3 s target for spreading the change itself.
const FreshnessLimit = 2 * time.Second

// Config holds the settings of the freshness rule.
type Config struct {
	// OwnDomain is the failure domain of this instance.
	OwnDomain string
	// FreshnessLimit replaces the constant of that name when it is positive.
	FreshnessLimit time.Duration
}

// Verdict tells whether a failure domain may receive packets, and if not, why.
type Verdict int

// Verdicts on a failure domain.
const (
	// Allowed: packets may be sent.
	Allowed Verdict = iota + 1
	// TakenOut: operators have taken the domain out.
	TakenOut
	// Stale: the domain could have been taken out without this instance
	// knowing, because neither the platform nor the domain was heard of.
	Stale
)

func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case TakenOut:
		return "taken out"
	case Stale:
		return "stale"
	}
	return "unknown"
}

// Domains holds the declared states of the failure domains.
type Domains struct {
	cfg  Config
	self string
	out  map[string]bool
}

// New returns the states of an instance that has adopted none; a failure
// domain without a declared state is in.
func New(cfg Config, self string) *Domains {
	if cfg.FreshnessLimit <= 0 {
		cfg.FreshnessLimit = FreshnessLimit
	}
	return &Domains{cfg: cfg, self: self, out: make(map[string]bool)}
}

// Adopt sets the declared state of a failure domain; nil removes it.
func (d *Domains) Adopt(name string, state *pb.DomainState) {
	if state.GetOut() {
		d.out[name] = true
		return
	}
	delete(d.out, name)
}

// Out reports whether operators have taken a failure domain out.
func (d *Domains) Out(name string) bool { return d.out[name] }

// MaySend reports whether packets may be sent to upstreams of a failure
// domain. confirmedAt is the time of the last platform confirmation known
// here, zero for none.
func (d *Domains) MaySend(now time.Time, name string, confirmedAt time.Time, view *membership.View) bool {
	return d.Check(now, name, confirmedAt, view) == Allowed
}

// Check is MaySend with the reason.
func (d *Domains) Check(now time.Time, name string, confirmedAt time.Time, view *membership.View) Verdict {
	if d.out[name] {
		return TakenOut
	}
	if name == d.cfg.OwnDomain {
		return Allowed
	}
	// After the zero time, now.Sub saturates, so no confirmation counts as
	// an old one.
	if now.Sub(confirmedAt) <= d.cfg.FreshnessLimit {
		return Allowed
	}
	if view != nil && now.Sub(d.lastContact(name, view)) <= d.cfg.FreshnessLimit {
		return Allowed
	}
	return Stale
}

// lastContact leaves this instance out: its own entry in the view is always
// fresh and says nothing about contact.
func (d *Domains) lastContact(name string, view *membership.View) time.Time {
	var last time.Time
	for _, m := range view.Members {
		if m.Name != d.self && m.FailureDomain == name && m.LastHeard.After(last) {
			last = m.LastHeard
		}
	}
	return last
}
