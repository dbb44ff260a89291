package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
)

// Status is what /status shows.
type Status struct {
	Instance         string           `json:"instance"`
	FailureDomain    string           `json:"failure_domain"`
	Ready            bool             `json:"ready"`
	Leaving          bool             `json:"leaving"`
	ConfigVersion    uint64           `json:"config_version"`
	UpstreamRevision uint64           `json:"upstreams_revision"`
	AgeMS            map[string]int64 `json:"age_ms"`
	// Watches are the kinds that this instance watches in the store.
	Watches []string `json:"watches"`
	// Mates are the known instances of the failure domain.
	Mates []string `json:"mates"`
	// LinesLost counts log lines that were not written.
	LinesLost int64            `json:"log_lines_lost"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is one upstream in Status.
type UpstreamStatus struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	State         string `json:"state"`
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(i.status(time.Now())); err != nil {
		i.log.Event(logrus.WarnLevel, "status_not_sent", logrus.Fields{"error": err})
	}
}

func (i *Instance) status(now time.Time) Status {
	s := Status{
		Instance: i.settings.Instance, FailureDomain: i.settings.FailureDomain,
		Ready: i.ready.Load(), Leaving: i.leaving.Load(), AgeMS: map[string]int64{},
	}
	limited, overflowed := i.log.Lost()
	s.LinesLost = limited + overflowed
	for _, kind := range catalog.Kinds() {
		if i.relay.OnDuty(now, kind) {
			s.Watches = append(s.Watches, kind.String())
		}
	}
	for _, mate := range i.relay.Mates() {
		s.Mates = append(s.Mates, mate.Name)
	}
	view := i.view.Load()
	if view == nil {
		return s
	}
	s.ConfigVersion, s.UpstreamRevision = view.Version, view.Revisions[catalog.KindUpstreams]
	for kind, confirmed := range view.Confirmed {
		if confirmed.IsZero() {
			continue
		}
		s.AgeMS[catalog.Kind(kind).String()] = now.Sub(confirmed).Milliseconds()
	}
	for _, entry := range view.All() {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{
			ID: entry.ID, Service: entry.Service, FailureDomain: entry.FailureDomain,
			Address: entry.Address.String(), State: entry.State(now),
		})
	}
	return s
}
