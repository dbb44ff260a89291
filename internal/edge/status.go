package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
)

// Status is the answer of /status.
type Status struct {
	Instance         string           `json:"instance"`
	FailureDomain    string           `json:"failure_domain"`
	Ready            bool             `json:"ready"`
	ShuttingDown     bool             `json:"leaving"`
	ConfigVersion    uint64           `json:"config_version"`
	UpstreamRevision uint64           `json:"upstreams_revision"`
	AgeMS            map[string]int64 `json:"age_ms"`
	// Revisions and Eras hold the store's revision of each known kind and the era of the
	// store to which it belongs.
	Revisions map[string]uint64 `json:"revisions"`
	Eras      map[string]uint64 `json:"eras"`
	// Watches lists the kinds that this instance watches in the store, on behalf of
	// its peers too.
	Watches []string `json:"watches"`
	// Peers lists the names of the known instances of the failure domain.
	Peers []string `json:"mates"`
	// Messages counts the messages between instances.
	Messages []MessageCount `json:"messages"`
	// Overload is absent without overload control.
	Overload *OverloadStatus `json:"overload,omitempty"`
	// Admissions and Hedges count new flows by the result of admission control, and extra
	// attempts by their result.
	Admissions []AdmissionCount `json:"admissions,omitempty"`
	Hedges     []HedgeCount     `json:"hedges,omitempty"`
	// LinesLost is the number of log lines that were not written.
	LinesLost int64            `json:"log_lines_lost"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus describes one upstream in Status.
type UpstreamStatus struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	State         string `json:"state"`
}

func (instance *Instance) serveStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(instance.status(r.Context(), time.Now())); err != nil {
		instance.log.Event(logrus.WarnLevel, "status_not_sent", logrus.Fields{"error": err})
	}
}

func (instance *Instance) status(ctx context.Context, now time.Time) Status {
	s := Status{
		Instance: instance.settings.Instance, FailureDomain: instance.settings.FailureDomain,
		Ready: instance.ready.Load(), ShuttingDown: instance.shuttingDown.Load(), AgeMS: map[string]int64{},
		Revisions: map[string]uint64{}, Eras: map[string]uint64{},
	}
	limited, overflowed := instance.log.LostLines()
	s.LinesLost = limited + overflowed
	s.Messages, s.Admissions, s.Hedges = instance.metrics.messageCounts(), instance.metrics.admissionCounts(), instance.metrics.hedgeCounts()
	s.Overload = instance.overloadStatus(ctx)
	for _, kind := range catalog.Kinds() {
		if instance.relay.IsWatcher(now, kind) {
			s.Watches = append(s.Watches, kind.String())
		}
	}
	for _, peer := range instance.relay.Peers() {
		s.Peers = append(s.Peers, peer.Name)
	}
	snapshot := instance.snapshot.Load()
	if snapshot == nil {
		return s
	}
	s.ConfigVersion, s.UpstreamRevision = snapshot.Version, snapshot.Revisions[catalog.KindUpstreams]
	for kind := range snapshot.Confirmed {
		confirmed := snapshot.AsOf(catalog.Kind(kind))
		if confirmed.IsZero() {
			continue
		}
		name := catalog.Kind(kind).String()
		s.AgeMS[name], s.Revisions[name], s.Eras[name] = now.Sub(confirmed).Milliseconds(), snapshot.Revisions[kind], snapshot.Eras[kind]
	}
	for _, entry := range snapshot.All() {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{
			ID: entry.ID, Service: entry.Service, FailureDomain: entry.FailureDomain,
			Address: entry.Address.String(), State: entry.State(now),
		})
	}
	return s
}
