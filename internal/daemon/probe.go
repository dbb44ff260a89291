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
	probeWorkers = 16
	// maxProbeBody bounds the answer of a health endpoint, in bytes.
	maxProbeBody = 4096
)

// ProbeStatusError says that a health endpoint answered with an error.
type ProbeStatusError struct {
	Upstream string
	Status   int
}

func (e *ProbeStatusError) Error() string {
	return fmt.Sprintf("health endpoint of %s answered with status %d", e.Upstream, e.Status)
}

// prober asks the health endpoints of upstreams.
type prober struct {
	client  *http.Client
	queue   chan action.Probe
	results chan<- action.ProbeResult
}

// newProber returns a prober that opens a connection per probe: a connection
// that something between the two ends has lost track of would make a live
// upstream look dead.
func newProber(results chan<- action.ProbeResult) *prober {
	return &prober{
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		queue:   make(chan action.Probe, probeQueue),
		results: results,
	}
}

// start queues a probe without blocking. A probe that finds the queue full is
// left out; the next one is due within an interval.
func (p *prober) start(probe action.Probe) {
	select {
	case p.queue <- probe:
	default:
	}
}

func (p *prober) run(ctx context.Context) {
	done := make(chan struct{})
	for range probeWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			p.work(ctx)
		}()
	}
	for range probeWorkers {
		<-done
	}
}

func (p *prober) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case probe := <-p.queue:
			result := p.probe(ctx, probe)
			select {
			case p.results <- result:
			case <-ctx.Done():
				return
			}
		}
	}
}

// healthReport is the answer of a health endpoint.
type healthReport struct {
	BootID      uint64 `json:"boot_id"`
	State       string `json:"state"`
	Load        uint32 `json:"load"`
	Connections uint32 `json:"connections"`
}

var reportStates = map[string]pb.UpstreamHealth_State{
	"warm":     pb.UpstreamHealth_STATE_WARM,
	"cold":     pb.UpstreamHealth_STATE_COLD,
	"draining": pb.UpstreamHealth_STATE_DRAINING,
}

func (p *prober) probe(ctx context.Context, probe action.Probe) action.ProbeResult {
	result := action.ProbeResult{Name: probe.Name}
	ctx, cancel := context.WithTimeout(ctx, probe.Timeout)
	defer cancel()
	report, err := p.get(ctx, probe)
	if err != nil {
		result.Err = err
		return result
	}
	result.BootID, result.Load, result.Connections = report.BootID, report.Load, report.Connections
	result.State = reportStates[report.State]
	return result
}

func (p *prober) get(ctx context.Context, probe action.Probe) (*healthReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+probe.Address.String()+"/health", nil)
	if err != nil {
		return nil, fmt.Errorf("probe %s: %w", probe.Name, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("probe %s: %w", probe.Name, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &ProbeStatusError{Upstream: probe.Name, Status: response.StatusCode}
	}
	report := &healthReport{}
	body := http.MaxBytesReader(nil, response.Body, maxProbeBody)
	if err := json.NewDecoder(body).Decode(report); err != nil {
		return nil, fmt.Errorf("probe %s: %w", probe.Name, err)
	}
	return report, nil
}
