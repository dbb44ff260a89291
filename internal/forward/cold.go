package forward

import "time"

const (
	// coldWindow is the sliding window in which the opening packets to a cold upstream,
	// copies included, are counted against its limit.
	coldWindow = time.Second
	// coldMargin is the part of the limit that is used. The rest allows for packets
	// that were delayed on the way, so that more arrive in a second than were sent in
	// one.
	coldMargin = 0.8
	// minSharers is the least number of instances by which the limit of a cold upstream
	// is divided: an instance that has just started does not know the others.
	minSharers = 4
)

// coldLimiter bounds the opening packets, copies included, that one instance sends to a
// cold upstream within any coldWindow.
type coldLimiter struct{ sentAt []time.Time }

func (l *coldLimiter) allows(now time.Time, budget int) bool { return l.count(now) < budget }

// count returns the number of opening packets within coldWindow.
func (l *coldLimiter) count(now time.Time) int {
	for len(l.sentAt) > 0 && now.Sub(l.sentAt[0]) > coldWindow {
		l.sentAt = l.sentAt[1:]
	}
	return len(l.sentAt)
}

func (l *coldLimiter) record(now time.Time) { l.sentAt = append(l.sentAt, now) }

// PeerRank says how this instance shares the limits of cold upstreams with the other
// instances of its failure domain.
type PeerRank struct {
	// Rank is this instance's position among them, from 0.
	Rank int
	// Count is the number of instances of the failure domain.
	Count int
}

// instanceColdBudget returns the number of opening packets, copies included, that an
// instance may send to one cold upstream of its failure domain within coldWindow. The
// sum over all instances of the domain stays within what the upstream sustains,
// rate*factor + slack flows per second. When that is less than one flow per instance,
// only the instances of the lowest ranks send, one flow each.
func instanceColdBudget(rate, factor, slack float64, peerRank PeerRank) int {
	total := int((rate*factor + slack) * coldMargin)
	senders := min(max(peerRank.Count, minSharers), total)
	if senders == 0 || peerRank.Rank >= senders {
		return 0
	}
	return total / senders
}
