package catalog

import (
	"fmt"
	"net/netip"
	"time"
)

// configure adopts a configuration if it is newer than the one in force.
func (c *Catalog) configure(next Configuration) {
	if c.config != nil && next.Revision <= c.config.Revision {
		return
	}
	if c.config != nil && next.Version < c.config.Version {
		c.note(Change{Event: "configuration_older", Kind: KindConfiguration, Revision: next.Revision,
			Detail: fmt.Sprintf("version=%d in_force=%d", next.Version, c.config.Version)})
		return
	}
	addresses := make(map[netip.AddrPort]bool, len(next.Routes))
	for _, route := range next.Routes {
		addresses[route.Address] = true
		delete(c.dropped, route.Address)
	}
	if c.config != nil {
		for _, route := range c.config.Routes {
			if !addresses[route.Address] {
				c.dropped[route.Address] = true
			}
		}
	}
	c.config = &next
	c.dirty = true
	c.note(Change{Event: "configuration_adopted", Kind: KindConfiguration, Revision: next.Revision,
		Detail: fmt.Sprintf("version=%d routes=%d services=%d", next.Version, len(next.Routes), len(next.Services))})
}

func (c *Catalog) listEvacuations(now time.Time, list EvacuationsListed) {
	listed := make(map[string]bool, len(list.Domains))
	for _, domain := range list.Domains {
		listed[domain] = true
		c.evacuate(now, domain, true)
	}
	for domain := range c.evacuated {
		if !listed[domain] {
			c.evacuate(now, domain, false)
		}
	}
}

// evacuate starts or ends an evacuation. The upstreams of a failure domain that
// returns may have become cold while nobody looked at them.
func (c *Catalog) evacuate(now time.Time, domain string, out bool) {
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
		c.coldDomain[domain] = now.Add(evacuationRamp)
	}
	c.note(Change{Event: event, Kind: KindEvacuations, Subject: domain, Revision: c.contact[KindEvacuations].revision})
}
