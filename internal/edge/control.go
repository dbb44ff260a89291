package edge

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
)

const (
	// eventQueue is the number of events of the source that may wait.
	eventQueue = 64
	// tickInterval is the time between two passes of the control goroutine
	// without events: short against the grace of a removed entry (2 s).
	tickInterval = 250 * time.Millisecond
	// publishInterval is the least time between two snapshots: one of 3,700
	// upstreams takes 1.6 ms, and the return of a failure domain changes hundreds
	// of entries within a second.
	publishInterval = 50 * time.Millisecond
	// changeLines bounds the lines about the changes of one update, which pass
	// the rate limit; /status shows all upstreams.
	changeLines = 64
)

// control is the control goroutine: it owns the catalog.
func (i *Instance) control(ctx context.Context, reload <-chan os.Signal, load func() (*Settings, error)) {
	c := catalog.New()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var pace pacer
	var due <-chan time.Time
	var unlogged []catalog.Change
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			due = nil
		case event := <-i.events:
			unlogged = append(unlogged, c.Apply(time.Now().Add(-event.Age), event.Event)...)
		case <-reload:
			i.reload(load)
			continue
		case now := <-ticker.C:
			c.Forget(now)
		}
		wait := pace.wait(time.Now())
		if wait > 0 && due == nil {
			due = time.After(wait)
		}
		if wait <= 0 && i.publish(c) && i.view.Load().Ready() {
			pace.published(time.Now())
		}
		i.updateReadiness(time.Now())
		// Lines take longer than the snapshot that callers wait for.
		i.logChanges(unlogged)
		unlogged = unlogged[:0]
	}
}

// pacer spaces snapshots. What changes meanwhile is part of the next one.
type pacer struct{ last time.Time }

// wait returns how long the next snapshot has to wait.
func (p *pacer) wait(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return publishInterval - now.Sub(p.last)
}

func (p *pacer) published(now time.Time) { p.last = now }

// publish hands a changed view to the traffic goroutine; false when there is
// none. The upstreams alone let it forward established flows, while the
// configuration is still being read at a start.
func (i *Instance) publish(c *catalog.Catalog) bool {
	if !c.KnowsUpstreams() {
		return false
	}
	view, changed := c.Snapshot(time.Now())
	if !changed {
		return false
	}
	i.view.Store(view)
	i.traffic.wake()
	i.metrics.adopted(view)
	return true
}

// updateReadiness takes the instance into the rotation while it can serve.
func (i *Instance) updateReadiness(now time.Time) {
	view := i.view.Load()
	ready := view != nil && view.Ready() && !i.leaving.Load() && !i.traffic.cutOff.Load()
	if i.ready.Swap(ready) == ready || view == nil {
		return
	}
	i.log.Event(logrus.InfoLevel, "readiness_changed", logrus.Fields{
		"ready": ready, "leaving": i.leaving.Load(), "cut_off": i.traffic.cutOff.Load(),
		"config_version": view.Version, "upstreams": view.Known(), "upstreams_revision": view.Revisions[catalog.KindUpstreams],
		"upstreams_age_ms": now.Sub(view.Confirmed[catalog.KindUpstreams]).Milliseconds(),
	})
}

func (i *Instance) logChanges(changes []catalog.Change) {
	unwritten := map[string]int{}
	for n, change := range changes {
		i.metrics.changed(change.Event)
		if n >= changeLines {
			unwritten[change.Event]++
			continue
		}
		level := logrus.InfoLevel
		fields := logrus.Fields{"kind": change.Kind.String(), "revision": change.Revision}
		if change.Subject != "" {
			fields["subject"] = change.Subject
		}
		if change.Detail != "" {
			fields["detail"] = change.Detail
		}
		if change.Err != nil {
			level = logrus.WarnLevel
			fields["error"] = change.Err
		}
		i.log.Event(level, change.Event, fields)
	}
	for event, count := range unwritten {
		i.log.Event(logrus.InfoLevel, "changes_summarized", logrus.Fields{
			"change": event, "count": count, "revision": changes[len(changes)-1].Revision,
		})
	}
}

// reload applies the log level and the keys of changed settings; other settings
// need a restart.
func (i *Instance) reload(load func() (*Settings, error)) {
	next, err := load()
	if err != nil {
		i.log.Event(logrus.ErrorLevel, "reload_failed", logrus.Fields{"error": err})
		return
	}
	i.log.SetLevel(next.Level())
	i.relay.SetKeys(next.keys())
	applied := *i.settings
	applied.LogLevel, applied.PeerKeys = next.LogLevel, next.PeerKeys
	i.log.Event(logrus.InfoLevel, "reloaded", logrus.Fields{
		"log_level": next.LogLevel, "peer_keys": len(next.PeerKeys), "restart_needed": !applied.equal(next),
	})
}
