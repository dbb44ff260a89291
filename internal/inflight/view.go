package inflight

import (
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// Interval is the time between two reports with up to IntervalPeers peers. With more
	// peers it is longer in proportion, so that an instance receives as many reports.
	Interval      = 250 * time.Millisecond
	IntervalPeers = 24
	// validIntervals is the number of intervals for which a report counts.
	validIntervals = 3
	// maxPeers bounds the peers whose reports are kept, because their names come from
	// messages.
	maxPeers = 512
	// goneRetention is the time since its last report for which a peer that has stopped to
	// report is remembered: longer than the time for which the membership counts it.
	goneRetention = 2 * time.Minute
	// shortFrom is the occupancy from which a service is short of capacity. Requests wait
	// at some upstreams from there on, because load differs between them.
	shortFrom = 0.7
	// shortUntil is the occupancy below which the service is no longer short.
	shortUntil = 0.5
)

// peerReport is the last report of a peer; without entries once it no longer counts.
type peerReport struct {
	report     Report
	receivedAt time.Time
	// gap is the time between the last two reports; 0 with fewer.
	gap time.Duration
}

// View is what an instance knows about the requests in flight of its failure domain. It is
// not safe for concurrent use.
type View struct {
	*Meter
	// peerCount is the number of other instances of the failure domain.
	peerCount int
	// peers holds the last reports by the names of their senders, sums the sum in eighths by
	// upstream of those that count.
	peers map[string]*peerReport
	sums  map[Key]int
	// reporting is the number of peers whose report counts, gone that of those that have
	// stopped to report. Both are valid before nextExpiry.
	reporting, gone int
	nextExpiry      time.Time
	// ownMeans holds the last report of this instance.
	ownMeans map[Key]int
	// due is the time of the next report; zero before the first one.
	due time.Time
	// short holds the services that are short of capacity.
	short map[string]bool
}

// NewView returns a view without requests and peers. The seed should differ between
// instances.
func NewView(seed uint64) *View {
	return &View{
		Meter: NewMeter(seed), peers: map[string]*peerReport{}, sums: map[Key]int{}, ownMeans: map[Key]int{}, short: map[string]bool{},
	}
}

// SetPeers sets the number of other instances of the failure domain.
func (v *View) SetPeers(count int) {
	if count = max(count, 0); count != v.peerCount {
		v.peerCount, v.nextExpiry = count, time.Time{}
	}
}

// IntervalFor returns the time between two reports of an instance with a number of peers.
func IntervalFor(peers int) time.Duration {
	return Interval * time.Duration(max(peers, IntervalPeers)) / IntervalPeers
}

// Take returns the report of this instance when one is due.
func (v *View) Take(now time.Time) (report Report, due bool) {
	if now.Before(v.due) {
		return nil, false
	}
	// The next report is due an interval after this one was, not after it was sent: callers
	// ask every Interval, and longer intervals would be rounded up to a multiple of it.
	if v.due = v.due.Add(IntervalFor(v.peerCount)); v.due.Before(now) {
		v.due = now.Add(IntervalFor(v.peerCount))
	}
	report = v.Meter.Take(now)
	clear(v.ownMeans)
	for _, entry := range report {
		v.ownMeans[entry.Key] = int(entry.Eighths)
	}
	return report, true
}

// Handle records the report of a peer, which replaces its earlier one. It returns false when
// too many peers are known.
func (v *View) Handle(receivedAt time.Time, sender string, report Report) bool {
	peer := v.peers[sender]
	if peer == nil {
		if len(v.peers) >= maxPeers {
			return false
		}
		peer = &peerReport{}
		v.peers[sender] = peer
	}
	v.add(peer.report, -1)
	v.add(report, 1)
	if !peer.receivedAt.IsZero() {
		peer.gap = receivedAt.Sub(peer.receivedAt)
	}
	peer.report, peer.receivedAt = report, receivedAt
	v.nextExpiry = time.Time{}
	return true
}

// validity returns the time for which a report counts.
func (v *View) validity() time.Duration { return validIntervals * IntervalFor(v.peerCount) }

// goneAfter returns the time since its last report after which a peer counts as gone. With
// more than IntervalPeers peers a report goes to a part of them, so that one lost message
// may leave a peer without a report for longer than validity. Large reports go to fewer
// peers at a time, so that the reports of one peer may be further apart.
func (v *View) goneAfter(peer *peerReport) time.Duration {
	if v.peerCount > IntervalPeers {
		return min(2*max(v.validity(), peer.gap), goneRetention)
	}
	return v.validity()
}

func (v *View) add(report Report, factor int) {
	for _, entry := range report {
		if v.sums[entry.Key] += factor * int(entry.Eighths); v.sums[entry.Key] == 0 {
			delete(v.sums, entry.Key)
		}
	}
}

// expire removes the reports that no longer count and counts the peers again when their
// state may have changed.
func (v *View) expire(now time.Time) {
	if now.Before(v.nextExpiry) {
		return
	}
	validity := v.validity()
	v.reporting, v.gone, v.nextExpiry = 0, 0, now.Add(validity)
	for sender, peer := range v.peers {
		age, goneAfter := now.Sub(peer.receivedAt), v.goneAfter(peer)
		next := now.Add(validity)
		if age < validity {
			v.reporting++
			next = peer.receivedAt.Add(validity)
		} else {
			v.add(peer.report, -1)
			peer.report = nil
			if age < goneAfter {
				next = peer.receivedAt.Add(goneAfter)
			} else {
				v.gone++
			}
		}
		if age >= goneRetention {
			delete(v.peers, sender)
		}
		if next.Before(v.nextExpiry) {
			v.nextExpiry = next
		}
	}
}

// missing returns the number of peers whose requests are not known: those that have not
// reported yet or are of an earlier version. A peer that has stopped to report has most
// probably ended, and its callers have moved to other instances; if it counted, the capacity
// that it used would seem taken until the membership drops it, up to 100 s later. When no
// peer reports, this instance is partitioned, and all of them are missing.
func (v *View) missing() int {
	if v.reporting == 0 {
		return v.peerCount
	}
	return max(v.peerCount-v.reporting-v.gone, 0)
}

// Requests returns the number of requests in flight at an upstream from all instances of the
// failure domain. known is false when there are peers and none of them has reported within
// three intervals: the number is then that of this instance, scaled by the number of
// instances.
func (v *View) Requests(now time.Time, cookie flowcookie.Cookie) (inFlight float64, known bool) {
	v.expire(now)
	key := KeyOf(cookie)
	own, reported := float64(v.Now(cookie)), unit*float64(v.sums[key])
	if missing := v.missing(); missing > 0 {
		mean := (unit*float64(v.ownMeans[key]) + reported) / float64(v.reporting+1)
		reported += float64(missing) * mean
	}
	return own + reported, v.Known(now)
}

// Known tells whether a peer has reported within three intervals, or there are no peers.
func (v *View) Known(now time.Time) bool {
	v.expire(now)
	return v.reporting > 0 || v.peerCount == 0
}

// ReportAge returns the age of the oldest report that counts; false when there is none.
func (v *View) ReportAge(now time.Time) (oldest time.Duration, known bool) {
	v.expire(now)
	validity := v.validity()
	for _, peer := range v.peers {
		if age := now.Sub(peer.receivedAt); age < validity {
			oldest = max(oldest, age)
		}
	}
	return oldest, v.reporting > 0
}

// Upstream is a usable upstream of the own failure domain.
type Upstream struct {
	Cookie flowcookie.Cookie
	// Slots is the number of requests that it runs at once; values below 1 count as 1.
	Slots int
}

// Occupancy returns the requests in flight per slot over the usable upstreams of a service,
// and whether the service is short of capacity: from shortFrom until below shortUntil.
// Without usable upstreams the occupancy is not known and the service is not short.
func (v *View) Occupancy(now time.Time, service string, upstreams []Upstream) (perSlot float64, short bool) {
	slots, inFlight := 0, 0.0
	for _, upstream := range upstreams {
		slots += max(upstream.Slots, 1)
		requests, _ := v.Requests(now, upstream.Cookie)
		inFlight += requests
	}
	if slots > 0 {
		perSlot = inFlight / float64(slots)
	}
	if short = perSlot >= shortFrom || (v.short[service] && perSlot >= shortUntil); short {
		v.short[service] = true
	} else {
		delete(v.short, service)
	}
	return perSlot, short
}
