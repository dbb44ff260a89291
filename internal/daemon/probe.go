package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

const (
	// probeWorkers is the number of probes that may run at the same time.
	probeWorkers = 16
	// maxProbeBodyBytes bounds the size of a health endpoint's response body.
	maxProbeBodyBytes = 4096
)

// ProbeStatusError reports a health endpoint that answered with an HTTP status other
// than 200.
type ProbeStatusError struct {
	Upstream string
	Status   int
}

func (e *ProbeStatusError) Error() string {
	return fmt.Sprintf("health endpoint of upstream %s answered with HTTP status %d, want 200", e.Upstream, e.Status)
}

// prober sends health probes to upstreams.
type prober struct {
	client  *http.Client
	queue   chan action.Probe
	results chan<- action.ProbeResult
}

// newProber returns a prober that opens a new connection for every probe. A reused
// connection may be dead because a device on its path has dropped its state, which
// would make a live upstream look dead.
func newProber(results chan<- action.ProbeResult) *prober {
	return &prober{
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		queue:   make(chan action.Probe, probeQueueSize),
		results: results,
	}
}

// enqueue queues a probe without blocking. If the queue is full the probe is skipped;
// the next one is due after one probe interval.
func (prober *prober) enqueue(probe action.Probe) {
	select {
	case prober.queue <- probe:
	default:
	}
}

// run sends the queued probes until ctx ends.
func (prober *prober) run(ctx context.Context) {
	done := make(chan struct{})
	for range probeWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			prober.runWorker(ctx)
		}()
	}
	for range probeWorkers {
		<-done
	}
}

func (prober *prober) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case probe := <-prober.queue:
			result := prober.probe(ctx, probe)
			select {
			case prober.results <- result:
			case <-ctx.Done():
				return
			}
		}
	}
}

// upstreamHealthReport is the response body of a health endpoint.
type upstreamHealthReport struct {
	BootID      uint64 `json:"boot_id"`
	State       string `json:"state"`
	Load        uint32 `json:"load"`
	Connections uint32 `json:"connections"`
}

// upstreamStates maps the state in a health report to its enum value.
var upstreamStates = map[string]pb.UpstreamHealth_State{
	"warm":     pb.UpstreamHealth_STATE_WARM,
	"cold":     pb.UpstreamHealth_STATE_COLD,
	"draining": pb.UpstreamHealth_STATE_DRAINING,
}

func (prober *prober) probe(ctx context.Context, probe action.Probe) action.ProbeResult {
	result := action.ProbeResult{Name: probe.Name}
	ctx, cancel := context.WithTimeout(ctx, probe.Timeout)
	defer cancel()
	report, err := prober.fetchReport(ctx, probe)
	if err != nil {
		result.Err = err
		return result
	}
	result.BootID, result.Load, result.Connections = report.BootID, report.Load, report.Connections
	result.State = upstreamStates[report.State]
	return result
}

func (prober *prober) fetchReport(ctx context.Context, probe action.Probe) (*upstreamHealthReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+probe.Address.String()+"/health", nil)
	if err != nil {
		return nil, fmt.Errorf("build probe request for %s: %w", probe.Name, err)
	}
	response, err := prober.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("probe %s: %w", probe.Name, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &ProbeStatusError{Upstream: probe.Name, Status: response.StatusCode}
	}
	report := &upstreamHealthReport{}
	body := http.MaxBytesReader(nil, response.Body, maxProbeBodyBytes)
	if err := json.NewDecoder(body).Decode(report); err != nil {
		return nil, fmt.Errorf("decode health report of %s: %w", probe.Name, err)
	}
	return report, nil
}
