package placement

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

// contact tells whether this instance is in touch with the others closely
// enough to rely on its tables.
type contact struct {
	self     string
	view     *membership.View
	lastCall time.Time
	started  time.Time
	// resumed is when this instance started or came back from a pause; zero
	// once every member was heard of since.
	resumed time.Time
	// behindSince is when a member first reported a revision above
	// ours, and behindOf that revision.
	behindSince time.Time
	behindOf    uint64
	// catchUp is the revision to reach before anything is decided.
	catchUp uint64
	// unsure is when this instance last could not rely on its tables.
	unsure time.Time
}

// update takes a new view in and reports whether the instance was paused.
func (c *contact) update(now time.Time, view *membership.View) bool {
	paused := c.lastCall.IsZero() || now.Sub(c.lastCall) > FreezeLimit
	if c.lastCall.IsZero() {
		c.started = now
	}
	c.lastCall = now
	if paused {
		c.resumed = now
	}
	if view != c.view {
		c.compare(now, view)
		c.view = view
	}
	if !c.resumed.IsZero() && c.heardAll(now) {
		c.resumed = time.Time{}
	}
	if !c.ready(now) {
		c.unsure = now
	}
	return paused
}

// compare looks for members that came back and for later revisions.
func (c *contact) compare(now time.Time, view *membership.View) {
	highest := view.Self.Revision
	for _, m := range view.Members {
		highest = max(highest, m.Revision)
		if c.view == nil || m.Name == c.self || m.State == membership.Suspect {
			continue
		}
		before, ok := c.view.Member(m.Name)
		if (!ok || before.State == membership.Suspect) && m.Revision > view.Self.Revision {
			c.catchUp = max(c.catchUp, m.Revision)
		}
	}
	switch {
	case highest <= view.Self.Revision:
		c.behindSince = time.Time{}
	case c.behindSince.IsZero() || view.Self.Revision >= c.behindOf:
		c.behindSince, c.behindOf = now, highest
	}
}

// heardAll reports whether every other member was heard of since the pause.
// Members that stay silent are given up after SuspectAfter.
func (c *contact) heardAll(now time.Time) bool {
	if now.Sub(c.resumed) >= SuspectAfter {
		return true
	}
	if now.Sub(c.started) < startWait {
		return false
	}
	for _, m := range c.view.Members {
		if m.Name != c.self && !m.LastHeard.After(c.resumed) {
			return false
		}
		if m.Name != c.self {
			c.catchUp = max(c.catchUp, m.Revision)
		}
	}
	return true
}

// ready reports whether this instance may decide by its tables.
func (c *contact) ready(now time.Time) bool {
	if c.view == nil || !c.resumed.IsZero() || c.view.Self.Revision < c.catchUp {
		return false
	}
	return c.behindSince.IsZero() || now.Sub(c.behindSince) < BehindLimit
}

// certain reports whether this instance has been ready for long enough to
// have heard of everything that others could have done without it.
func (c *contact) certain(now time.Time) bool {
	return c.ready(now) && now.Sub(c.unsure) >= certainAfter
}

// observe takes a view in and updates the duties when it has changed.
func (t *Tracker) observe(now time.Time, view *membership.View) {
	if t.start.IsZero() {
		t.start = now
		t.contact.self = t.self
	}
	paused := t.contact.update(now, view)
	if paused {
		for _, s := range t.services {
			for _, b := range s.buckets {
				b.relinquish()
			}
		}
	}
	if view == t.view {
		return
	}
	old := t.view
	t.view = view
	if old != nil && sameMembers(old, view) {
		return
	}
	t.backups = make(map[string]string)
	t.replica.backup = backupOf(view, t.self)
	for _, s := range t.services {
		for _, b := range s.buckets {
			t.assign(now, s, b, old)
		}
	}
}

// sameMembers reports whether two views rank instances alike.
func sameMembers(a, b *membership.View) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y membership.Member) bool {
		return x.Name == y.Name && x.Incarnation == y.Incarnation && x.State == y.State &&
			x.FailureDomain == y.FailureDomain && x.Address == y.Address
	})
}

// bucketSeed is the seed for ranking the trackers of a bucket.
func bucketSeed(service string, bucket uint32) uint64 {
	return flow.NameHash(service) + uint64(bucket)*0x9e3779b97f4a7c15
}

// assign computes who tracks a bucket and whom this instance has to ask. old
// is the view before, nil for none.
func (t *Tracker) assign(now time.Time, s *serviceState, b *bucketState, old *membership.View) {
	ranked := t.view.Rank(bucketSeed(s.name, b.bucket))
	b.tracker = ""
	if len(ranked) > 0 {
		b.tracker = ranked[0].Name
	}
	b.mine = b.tracker == t.self && b.revision != 0
	b.peers = b.peers[:0]
	if !b.mine {
		return
	}
	for i, m := range ranked {
		if i <= syncPeers && m.Name != t.self {
			b.peers = append(b.peers, idOf(m))
		}
	}
	for _, m := range t.view.Members {
		if m.State == membership.Leaving && m.Name != t.self {
			b.peers = append(b.peers, idOf(m))
		}
	}
	// A peer that has been away must be asked again when it returns.
	b.merged = slices.DeleteFunc(b.merged, func(p peerID) bool { return !slices.Contains(b.peers, p) })
	for p := range b.asked {
		if !slices.Contains(b.peers, p) {
			delete(b.asked, p)
		}
	}
	if b.authority && old != nil {
		t.markNewMembers(now, b, old)
	}
}

// markNewMembers lets an authority go on after newMemberLimit without the
// answer of a member that was unknown before: it joined without state.
func (t *Tracker) markNewMembers(now time.Time, b *bucketState, old *membership.View) {
	for _, p := range b.peers {
		if before, ok := old.Member(p.name); ok && before.Incarnation == p.incarnation {
			continue
		}
		if b.asked == nil {
			b.asked = make(map[peerID]ask)
		}
		b.asked[p] = ask{since: now, soft: true}
	}
}

// backupOf returns the backup tracker of an instance, preferably in another
// failure domain; the zero member when there is none. A tracker has one
// backup for all its buckets: births then share messages, whose headers would
// otherwise take several times the bytes of the births.
func backupOf(view *membership.View, tracker string) membership.Member {
	self, _ := view.Member(tracker)
	var fallback membership.Member
	for _, m := range view.Rank(flow.NameHash(tracker)) {
		switch {
		case m.Name == tracker:
		case m.FailureDomain != self.FailureDomain:
			return m
		case fallback.Name == "":
			fallback = m
		}
	}
	return fallback
}
