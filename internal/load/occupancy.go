package load

import "time"

const (
	// reportedOccupancyChange is the change of an occupancy after which the next report to
	// other failure domains follows soon.
	reportedOccupancyChange = 0.3
	// maxOccupancy bounds reported occupancies, because reports may be faulty.
	maxOccupancy = 1000
)

// Occupancy is the number of requests in flight per slot of a service in a failure domain.
// Known is false in reports of instances that do not share the numbers in flight.
type Occupancy struct {
	PerSlot float64
	Known   bool
}

// valid returns the occupancy, or an unknown one if it is out of range.
func (o Occupancy) valid() Occupancy {
	if !o.Known || !(o.PerSlot >= 0 && o.PerSlot <= maxOccupancy) {
		return Occupancy{}
	}
	return o
}

// SetOccupancies replaces the occupancies of the own failure domain, by service.
func (v *View) SetOccupancies(perSlot map[string]float64) { v.occupancies = perSlot }

func (v *View) ownOccupancy(service string) Occupancy {
	perSlot, known := v.occupancies[service]
	return Occupancy{PerSlot: perSlot, Known: known}
}

// RemoteOccupancy returns the occupancy of a service in another failure domain, which is
// known for reportTimeout after a report. A domain that is heard, has told occupancies and
// says nothing about the service has hardly any requests to it.
func (v *View) RemoteOccupancy(now time.Time, service, domain string) Occupancy {
	remote := v.remote[remoteKey{service, domain}]
	switch {
	case !remote.reportedAt.IsZero() && now.Sub(remote.reportedAt) < reportTimeout:
		return remote.occupancy
	case v.tellsOccupancy[domain] && v.Heard(now, domain):
		return Occupancy{Known: true}
	}
	return Occupancy{}
}
