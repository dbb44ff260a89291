// Package domain decides which failure domains may receive packets: those that
// operators have not taken out, unless this instance's knowledge of that is too
// old (FreshnessLimit).
package domain

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/membership"
)

// FreshnessLimit is the default of Config.FreshnessLimit. Packets to a failure
// domain have to stop within 3 s after operators take it out; the limit leaves 1 s
// of that for the change to reach the instances.
const FreshnessLimit = 2 * time.Second

// Config holds the settings of Domains.
type Config struct {
	// OwnDomain is the failure domain of this instance.
	OwnDomain string
	// FreshnessLimit is the age up to which the platform's latest confirmation, or
	// the latest contact with an instance of a failure domain, allows packets to
	// that domain. Zero or less selects the constant FreshnessLimit.
	FreshnessLimit time.Duration
}

// Verdict is the result of Domains.Check: whether a failure domain may receive
// packets and, if not, the reason.
type Verdict int

// Verdicts on a failure domain.
const (
	// Allowed: packets may be sent to the domain.
	Allowed Verdict = iota + 1
	// TakenOut: operators have taken the domain out.
	TakenOut
	// Stale: operators could have taken the domain out without this instance
	// knowing, because neither a confirmation by the platform nor contact with
	// the domain is recent enough.
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

// Domains holds which failure domains operators have taken out. It is not safe for
// concurrent use.
type Domains struct {
	cfg      Config
	selfName string
	takenOut map[string]bool
}

// New returns the Domains of the instance named selfName. No failure domain is
// taken out until Adopt says so.
func New(cfg Config, selfName string) *Domains {
	if cfg.FreshnessLimit <= 0 {
		cfg.FreshnessLimit = FreshnessLimit
	}
	return &Domains{cfg: cfg, selfName: selfName, takenOut: make(map[string]bool)}
}

// Adopt applies the declared state of a failure domain. Nil stands for a deleted
// declaration, after which the domain is not taken out.
func (d *Domains) Adopt(name string, state *pb.DomainState) {
	if state.GetOut() {
		d.takenOut[name] = true
		return
	}
	delete(d.takenOut, name)
}

// Out reports whether operators have taken a failure domain out.
func (d *Domains) Out(name string) bool { return d.takenOut[name] }

// MaySend reports whether packets may be sent to upstreams of a failure domain,
// that is, whether Check returns Allowed.
func (d *Domains) MaySend(now time.Time, name string, confirmedAt time.Time, view *membership.View) bool {
	return d.Check(now, name, confirmedAt, view) == Allowed
}

// Check decides whether packets may be sent to upstreams of a failure domain. A
// domain that operators have taken out is TakenOut. Otherwise the own domain is
// Allowed, and another one if confirmedAt, the time of the latest confirmation by
// the platform, is at most Config.FreshnessLimit before now, or if another instance
// of the domain was heard of within that time. In all other cases the domain is
// Stale. A zero confirmedAt stands for no confirmation, and view may be nil.
func (d *Domains) Check(now time.Time, name string, confirmedAt time.Time, view *membership.View) Verdict {
	if d.takenOut[name] {
		return TakenOut
	}
	if name == d.cfg.OwnDomain {
		return Allowed
	}
	// now.Sub saturates for the zero time, so a missing confirmation counts as an
	// old one.
	if now.Sub(confirmedAt) <= d.cfg.FreshnessLimit {
		return Allowed
	}
	if view != nil && now.Sub(d.lastContact(name, view)) <= d.cfg.FreshnessLimit {
		return Allowed
	}
	return Stale
}

// lastContact returns when another instance of a failure domain was last heard of,
// the zero time for never. This instance is left out, because its own entry in the
// view is always recent and shows no contact.
func (d *Domains) lastContact(name string, view *membership.View) time.Time {
	var last time.Time
	for _, m := range view.Members {
		if m.Name != d.selfName && m.FailureDomain == name && m.LastHeard.After(last) {
			last = m.LastHeard
		}
	}
	return last
}
