package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/edge"
)

// configurationBound is the time from a change of the configuration until it is in force on
// every instance, without the transfer to the instances.
const configurationBound = 5 * time.Second

// checkConfigurations waits until configurationBound and the time of one transfer have passed
// since the last change, and checks that every instance has the last configuration in force.
func (fleet *fleet) checkConfigurations(ctx context.Context, shared *sharedConfiguration) {
	shared.mu.Lock()
	version, changedAt := shared.config.Version, shared.changedAt
	bound := configurationBound + transferTime(fleet.store.ConfigurationSize(), limitedRate)
	shared.mu.Unlock()
	select {
	case <-time.After(time.Until(changedAt.Add(bound))):
	case <-ctx.Done():
		return
	}
	for _, instance := range fleet.instances {
		if status, err := instance.status(ctx); err != nil {
			fleet.checker.recordViolation("STATE: %s has no status: %v", instance.name, err)
		} else if status.ConfigVersion != version {
			fleet.checker.recordViolation("CONFIG: %s has version %d in force, not %d, %s after the change", instance.name, status.ConfigVersion, version, time.Since(changedAt))
		}
	}
}

// checkStates checks that every instance has the last configuration in force and lists
// exactly the running upstreams. It is called after the recovery time, when nothing
// changes any more.
func (fleet *fleet) checkStates(ctx context.Context, shared *sharedConfiguration) {
	shared.mu.Lock()
	version := shared.config.Version
	shared.mu.Unlock()
	running := slices.Sorted(maps.Keys(fleet.runningIDs()))
	for _, instance := range fleet.instances {
		status, err := instance.status(ctx)
		if err != nil {
			fleet.checker.recordViolation("STATE: %s has no status: %v", instance.name, err)
			continue
		}
		if status.ConfigVersion != version {
			fleet.checker.recordViolation("CONFIG: %s has version %d in force, not %d", instance.name, status.ConfigVersion, version)
		}
		var listed []string
		for _, u := range status.Upstreams {
			if u.State == "ready" || u.State == "cold" || u.State == "draining" {
				listed = append(listed, u.ID)
			}
		}
		slices.Sort(listed)
		if !slices.Equal(listed, running) {
			fleet.checker.recordViolation("STATE: %s lists %v, not %v", instance.name, listed, running)
		}
	}
}

// status requests the status of the instance's process.
func (instance *instance) status(ctx context.Context) (*edge.Status, error) {
	url := fmt.Sprintf("http://%s/status", netip.AddrPortFrom(instance.address, metricsPort))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // The body has been read; an error has no effect.
	var status edge.Status
	return &status, json.NewDecoder(response.Body).Decode(&status)
}
