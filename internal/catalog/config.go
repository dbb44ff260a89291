package catalog

import (
	"fmt"
	"net/netip"
	"time"
)

// applyConfiguration adopts a configuration unless its revision is not newer, or
// its version is lower, than that of the one in force. The version is the operators'
// own order, which also holds between eras.
func (c *Catalog) applyConfiguration(now time.Time, next Configuration) {
	if c.config != nil && next.Revision <= c.config.Revision {
		return
	}
	if c.config != nil && next.Version < c.config.Version {
		c.recordChange(Change{Event: "configuration_older", Kind: KindConfiguration, Revision: next.Revision,
			Detail: fmt.Sprintf("version=%d in_force=%d", next.Version, c.config.Version)})
		return
	}
	addresses := make(map[netip.AddrPort]bool, len(next.Routes))
	for _, route := range next.Routes {
		addresses[route.Address] = true
		delete(c.removedRoutes, route.Address)
	}
	if c.config != nil {
		for _, route := range c.config.Routes {
			if !addresses[route.Address] {
				c.removedRoutes[route.Address] = true
			}
		}
	}
	c.config = &next
	c.recordServices(now, &next)
	c.dirty = true
	c.recordChange(Change{Event: "configuration_adopted", Kind: KindConfiguration, Revision: next.Revision,
		Detail: fmt.Sprintf("version=%d routes=%d services=%d", next.Version, len(next.Routes), len(next.Services))})
}

// applyEvacuationList replaces the evacuations. A list of a restored store that has not
// settled ends none, and does not start one again that this instance saw end: the copy
// may be from before.
func (c *Catalog) applyEvacuationList(now time.Time, list EvacuationsListed) {
	if c.status[KindEvacuations].unsettled {
		for _, domain := range list.Domains {
			if _, ended := c.evacuationEnds[domain]; !ended {
				c.setEvacuated(now, domain, true)
			}
		}
		return
	}
	listed := make(map[string]bool, len(list.Domains))
	for _, domain := range list.Domains {
		listed[domain] = true
		c.setEvacuated(now, domain, true)
	}
	for domain := range c.evacuated {
		if !listed[domain] {
			c.setEvacuated(now, domain, false)
		}
	}
}

// sameEvacuationEnd is the difference up to which two times are those of the same end,
// which a message has delayed.
const sameEvacuationEnd = 100 * time.Millisecond

// applyEvacuationEnds makes the upstreams of failure domains count as cold for as long as
// the instances do that saw the evacuations end.
func (c *Catalog) applyEvacuationEnds(now time.Time, ended EvacuationsEnded) {
	for _, evacuation := range ended.Evacuations {
		domain := evacuation.FailureDomain
		end, known := now.Add(-max(evacuation.Ago, 0)), c.evacuationEnds[domain]
		if end.Sub(known) < sameEvacuationEnd {
			continue
		}
		if now.Sub(end) < evacuationColdTime && now.Sub(known) >= evacuationColdTime {
			c.recordChange(Change{Event: "evacuation_ended_before_start", Kind: KindEvacuations, Subject: domain,
				Revision: c.status[KindEvacuations].revision, Detail: fmt.Sprintf("ago_ms=%d", evacuation.Ago.Milliseconds())})
		}
		c.evacuationEnds[domain] = end
		delete(c.earlierEnds, domain)
		c.dirty = true
	}
}

// earlierEnd is an end of an evacuation that the store's history shows. The time of the end
// is not known.
type earlierEnd struct {
	revision uint64
	readAt   time.Time
}

// applyEarlierEnds makes the upstreams of failure domains count as cold whose evacuations
// ended before this instance started, unless another instance has told when.
func (c *Catalog) applyEarlierEnds(now time.Time, earlier EarlierEvacuationEnds) {
	if earlier.Err != nil {
		c.recordChange(Change{Event: "evacuation_history_unread", Kind: KindEvacuations, Err: earlier.Err})
	}
	for domain, revision := range earlier.Revisions {
		if !c.evacuationEnds[domain].IsZero() {
			continue
		}
		c.earlierEnds[domain] = earlierEnd{revision, now}
		c.dirty = true
		c.recordChange(Change{Event: "evacuation_ended_before_start", Kind: KindEvacuations, Subject: domain, Revision: revision})
	}
}

// coldAfterEvacuation returns the time until which an upstream of a service, which may be
// nil, counts as cold because its failure domain was evacuated. An entry that was written
// after an end tells itself whether the upstream is cold.
func (c *Catalog) coldAfterEvacuation(entry *Entry, service *ServiceView) time.Time {
	end := c.evacuationEnds[entry.FailureDomain]
	if earlier, known := c.earlierEnds[entry.FailureDomain]; known && entry.Revision < earlier.revision {
		end = earlier.readAt
	}
	return end.Add(coldTimeAfterEvacuation(service))
}

// setEvacuated records that the evacuation of a failure domain has started or
// ended. After the end its upstreams count as cold for a while, because
// they may have become cold unnoticed during the evacuation.
func (c *Catalog) setEvacuated(now time.Time, domain string, out bool) {
	if c.evacuated[domain] == out {
		return
	}
	c.dirty = true
	event := "evacuation_started"
	if out {
		c.evacuated[domain] = true
	} else {
		event = "evacuation_ended"
		delete(c.evacuated, domain)
		c.evacuationEnds[domain] = now
		delete(c.earlierEnds, domain)
	}
	c.recordChange(Change{Event: event, Kind: KindEvacuations, Subject: domain, Revision: c.status[KindEvacuations].revision})
}
