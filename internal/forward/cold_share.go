package forward

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/overload"
)

// coldUse is the use of the cold upstreams of a service within coldWindow while only they
// are left: the opening packets of the highest active priority that arrived, and those of
// lower ones that were sent.
type coldUse struct{ highestWanted, lowerSent coldLimiter }

func (u *coldUse) copy() coldUse {
	return coldUse{coldLimiter{slices.Clone(u.highestWanted.sentAt)}, coldLimiter{slices.Clone(u.lowerSent.sentAt)}}
}

func (d *demand) coldUseOf(service string) *coldUse {
	use := d.cold[service]
	if use == nil {
		use = &coldUse{}
		d.cold[service] = use
	}
	return use
}

// mayUseCold tells whether a new flow may go to a cold upstream of its service, while only
// cold ones are left: their limit goes to the highest active priority first.
func (e *Engine) mayUseCold(now time.Time, p *Packet, service *catalog.ServiceView) bool {
	if !e.cfg.OverloadControl {
		return true
	}
	request := choice.ColdRequest{
		Highest: e.isHighestActive(now, p, service), HasTurn: overload.HasTurn(now, p.Flow.Caller.Addr(), e.cfg.AdmissionFloor),
	}
	for _, entry := range service.Entries {
		if entry.Cold(now) && entry.FailureDomain == e.cfg.FailureDomain {
			request.Budget += e.coldBudget(service)
		}
	}
	use := e.demand.coldUseOf(service.Name)
	if request.Highest {
		use.highestWanted.record(now)
		// The latest ones suffice, because the budget is the most that counts.
		wanted := &use.highestWanted.sentAt
		*wanted = (*wanted)[max(len(*wanted)-max(request.Budget, 1), 0):]
	}
	request.HighestWanted, request.LowerSent = use.highestWanted.count(now), use.lowerSent.count(now)
	return choice.MayUseCold(request)
}

// recordColdUse records that a new flow was sent to a cold upstream while only cold ones are
// left.
func (e *Engine) recordColdUse(now time.Time, p *Packet, service *catalog.ServiceView) {
	if e.cfg.OverloadControl && !e.isHighestActive(now, p, service) {
		e.demand.coldUseOf(service.Name).lowerSent.record(now)
	}
}

// isHighestActive tells whether no route of a higher priority than that of a packet is active.
func (e *Engine) isHighestActive(now time.Time, p *Packet, service *catalog.ServiceView) bool {
	return e.snapshot.Route(p.Flow.Service).Terms.Priority <= e.highestActive(now, service.Name)
}
