package edge

import (
	"context"
	"time"

	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/hedge"
	"github.com/chivemast/chivemast/internal/overload"
)

// statusQuestionTimeout is how long /status waits for the traffic goroutine. Readers of
// /status must get the rest also while that goroutine is stuck.
const statusQuestionTimeout = 500 * time.Millisecond

// overloadStatusAge is the time for which /status repeats the load of the services: the
// answer takes the traffic goroutine longer with more upstreams, as that of /explain does.
const overloadStatusAge = 250 * time.Millisecond

// OverloadStatus is the part of Status about overload control.
type OverloadStatus struct {
	// Services lists the services with upstreams in the own failure domain: the requests
	// in flight of other domains are not known.
	Services []ServiceStatus `json:"services"`
	// ReportsAgeMS is the age of the oldest report of a peer that counts; -1 when there is
	// none, so that the numbers rest on the requests of this instance alone.
	ReportsAgeMS int64 `json:"reports_age_ms"`
}

// ServiceStatus is the load of a service in a failure domain.
type ServiceStatus struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	// Occupancy is the number of requests in flight per slot of the usable upstreams,
	// InFlight the number at all listed ones, which have Slots.
	Occupancy float64 `json:"occupancy"`
	Short     bool    `json:"short"`
	InFlight  float64 `json:"in_flight"`
	Slots     int     `json:"slots"`
}

// AdmissionCount is the number of new flows of a priority with a result of admission
// control since the start.
type AdmissionCount struct {
	Priority int    `json:"priority"`
	Result   string `json:"result"`
	Flows    int64  `json:"flows"`
}

// HedgeCount is the number of extra attempts with a result since the start.
type HedgeCount struct {
	Result   string `json:"result"`
	Attempts int64  `json:"attempts"`
}

// overloadStatus asks the traffic goroutine for the load of the services. It returns nil
// without overload control and when there is no answer.
func (instance *Instance) overloadStatus(ctx context.Context) *OverloadStatus {
	if !instance.settings.OverloadControl {
		return nil
	}
	instance.overloadMutex.Lock()
	defer instance.overloadMutex.Unlock()
	if time.Since(instance.lastOverloadAt) < overloadStatusAge {
		return instance.lastOverload
	}
	limited, cancel := context.WithTimeout(ctx, statusQuestionTimeout)
	defer cancel()
	state, answered := ask(limited, instance.traffic, func(now time.Time, engine *forward.Engine) *forward.OverloadState {
		if state, ok := engine.OverloadState(now); ok {
			return &state
		}
		return nil
	})
	if !answered && ctx.Err() == nil {
		// Readers that have waited meanwhile do not wait for the goroutine again.
		instance.lastOverload, instance.lastOverloadAt = nil, time.Now()
	}
	if !answered || state == nil {
		return nil
	}
	status := &OverloadStatus{ReportsAgeMS: state.ReportAge.Milliseconds()}
	for _, s := range state.Services {
		status.Services = append(status.Services, ServiceStatus{
			Service: s.Service, FailureDomain: instance.settings.FailureDomain,
			Occupancy: s.Occupancy, Short: s.Short, InFlight: s.InFlight, Slots: s.Slots,
		})
	}
	instance.lastOverload, instance.lastOverloadAt = status, time.Now()
	return status
}

// admissionCounts returns the counts of all priorities and results that occurred.
func (m *Metrics) admissionCounts() (counts []AdmissionCount) {
	for priority := range priorityLabels {
		for result, label := range overload.OutcomeLabels {
			if n := m.admissions.Get(priority*len(overload.OutcomeLabels) + result); n > 0 {
				counts = append(counts, AdmissionCount{Priority: priority, Result: label, Flows: n})
			}
		}
	}
	return counts
}

// hedgeCounts returns the counts of all results that occurred.
func (m *Metrics) hedgeCounts() (counts []HedgeCount) {
	for n, label := range hedge.CounterLabels {
		if attempts := m.hedges.Get(n); attempts > 0 {
			counts = append(counts, HedgeCount{Result: label, Attempts: attempts})
		}
	}
	return counts
}
