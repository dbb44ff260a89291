package edge

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
)

const (
	// eventQueue is the maximum number of events from the syncer that wait for
	// the control goroutine.
	eventQueue = 64
	// tickInterval is the time between two ticks, which run the control goroutine
	// when no event arrives. It is short compared with the 2 s for which an entry
	// that lapsed while the store was unavailable may be missing after the store's
	// return.
	tickInterval = 250 * time.Millisecond
	// publishInterval is the minimum time between two snapshots. Building one of
	// 3,700 upstreams takes 1.6 ms, and hundreds of entries change within a second
	// when a failure domain returns.
	publishInterval = 50 * time.Millisecond
	// maxChangeLines is the maximum number of log lines about single changes that one
	// call of logChanges writes, because the rate limit does not apply to them.
	// /status shows all upstreams.
	maxChangeLines = 64
	// stateMissingAfter is the time since the start after which an instance without
	// state says so: longer than a start takes on the slowest machines.
	stateMissingAfter = time.Second
	// trafficLogInterval is the time between two log lines with the bytes sent to other
	// instances by kind of message.
	trafficLogInterval = 10 * time.Second
)

// runControl is the control goroutine, which owns the catalog. It applies events,
// publishes snapshots, updates readiness and reloads settings until ctx ends.
func (instance *Instance) runControl(ctx context.Context, reload <-chan os.Signal, load func() (*Settings, error)) {
	c := catalog.New()
	c.SetCookieByID(instance.settings.CookieByID)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	trafficTicker := time.NewTicker(trafficLogInterval)
	defer trafficTicker.Stop()
	var pace pacer
	var due <-chan time.Time
	var unlogged []catalog.Change
	missing := missingState{began: time.Now()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			due = nil
		case event := <-instance.events:
			if failed, ok := event.Event.(catalog.Unavailable); ok {
				instance.logFailedCall(failed)
			}
			unlogged = append(unlogged, c.Apply(time.Now().Add(-event.Age), event.Event)...)
		case <-reload:
			instance.reloadSettings(load)
			continue
		case now := <-ticker.C:
			c.DeleteExpired(now)
			instance.logMissingState(now, &missing)
		case <-trafficTicker.C:
			instance.logMessages()
			continue
		}
		wait := pace.delay(time.Now())
		if wait > 0 && due == nil {
			due = time.After(wait)
		}
		if wait <= 0 && instance.publishSnapshot(c) && instance.snapshot.Load().Ready() {
			pace.recordPublished(time.Now())
		}
		instance.updateReadiness(time.Now())
		// Changes are logged after the snapshot is published, because writing the
		// lines takes longer and callers wait for the snapshot.
		instance.logChanges(unlogged)
		unlogged = unlogged[:0]
	}
}

// missingState is the state of logMissingState: the start of the control goroutine, and
// whether the line was written.
type missingState struct {
	began  time.Time
	logged bool
}

// logMissingState logs once that neither the store nor another instance has provided
// the state that new flows need, when that takes longer than stateMissingAfter.
func (instance *Instance) logMissingState(now time.Time, missing *missingState) {
	held := instance.holdings().Positions
	if missing.logged || held.Complete() || now.Sub(missing.began) < stateMissingAfter {
		return
	}
	missing.logged = true
	var kinds []string
	for _, kind := range catalog.Kinds() {
		if held[kind].Revision == 0 {
			kinds = append(kinds, kind.String())
		}
	}
	known, holding := instance.relay.MembersHolding(now)
	instance.log.Event(logrus.WarnLevel, "state_missing", logrus.Fields{
		"kinds": strings.Join(kinds, ","), "members": known, "members_with_state": holding,
	})
}

// logMessages logs the bytes sent to other instances since the start, by kind of message.
func (instance *Instance) logMessages() {
	fields := logrus.Fields{}
	for _, count := range instance.metrics.messageCounts() {
		if count.Direction == relayLabels[relaySent] {
			fields["sent_"+count.Kind] = count.Bytes
		}
	}
	instance.log.Event(logrus.InfoLevel, "relay_traffic", fields)
}

// pacer keeps publishInterval between two snapshots. Changes in between become
// part of the next snapshot. last is when the last snapshot was published.
type pacer struct{ last time.Time }

// delay returns how long the next snapshot has to wait; zero or less means that it
// may be published now.
func (p *pacer) delay(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return publishInterval - now.Sub(p.last)
}

func (p *pacer) recordPublished(now time.Time) { p.last = now }

// publishSnapshot passes a new snapshot to the traffic goroutine if the catalog
// changed. It returns false if nothing changed or the upstreams are not known yet. At a start,
// the upstreams alone are enough to forward established flows while the
// configuration is still being read.
func (instance *Instance) publishSnapshot(c *catalog.Catalog) bool {
	if !c.KnowsUpstreams() {
		return false
	}
	snapshot, changed := c.Snapshot(time.Now())
	if !changed {
		return false
	}
	instance.snapshot.Store(snapshot)
	instance.traffic.wake()
	instance.metrics.recordSnapshot(snapshot)
	return true
}

// updateReadiness makes the readiness probe succeed while the snapshot is complete,
// the instance is not shutting down and noUpstreamReachable is not set.
func (instance *Instance) updateReadiness(now time.Time) {
	snapshot := instance.snapshot.Load()
	ready := snapshot != nil && snapshot.Ready() && !instance.shuttingDown.Load() && !instance.traffic.noUpstreamReachable.Load()
	if instance.ready.Swap(ready) == ready || snapshot == nil {
		return
	}
	instance.log.Event(logrus.InfoLevel, "readiness_changed", logrus.Fields{
		"ready": ready, "leaving": instance.shuttingDown.Load(), "cut_off": instance.traffic.noUpstreamReachable.Load(),
		"config_version": snapshot.Version, "upstreams": snapshot.UpstreamCount(), "upstreams_revision": snapshot.Revisions[catalog.KindUpstreams],
		"upstreams_age_ms": now.Sub(snapshot.AsOf(catalog.KindUpstreams)).Milliseconds(),
	})
}

// logChanges counts all changes, logs the first maxChangeLines of them, and logs the
// number of the others by event.
func (instance *Instance) logChanges(changes []catalog.Change) {
	summarized := map[string]int{}
	for n, change := range changes {
		instance.metrics.countChange(change.Event)
		if n >= maxChangeLines {
			summarized[change.Event]++
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
		instance.log.Event(level, change.Event, fields)
	}
	for event, count := range summarized {
		instance.log.Event(logrus.InfoLevel, "changes_summarized", logrus.Fields{
			"change": event, "count": count, "revision": changes[len(changes)-1].Revision,
		})
	}
}

// reloadSettings reads the settings and applies the log level, the peer keys and the
// limits; changes of other settings need a restart. Invalid settings change nothing.
func (instance *Instance) reloadSettings(load func() (*Settings, error)) {
	next, err := load()
	if err != nil {
		instance.log.Event(logrus.ErrorLevel, "reload_failed", logrus.Fields{"error": err})
		return
	}
	instance.log.SetLevel(next.Level())
	instance.relay.SetKeys(next.keys())
	limits := next.limits()
	instance.traffic.limits.Store(&limits)
	applied := *instance.settings
	applied.LogLevel, applied.PeerKeys = next.LogLevel, next.PeerKeys
	applied.AdmissionWaitShare, applied.AdmissionFloor, applied.HedgeShare = next.AdmissionWaitShare, next.AdmissionFloor, next.HedgeShare
	applied.HedgeMinDelayMS = next.HedgeMinDelayMS
	instance.log.Event(logrus.InfoLevel, "reloaded", logrus.Fields{
		"log_level": next.LogLevel, "peer_keys": len(next.PeerKeys), "restart_needed": !applied.equal(next),
	})
}
