package relay

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
	"github.com/chivemast/chivemast/internal/peerauth"
)

// SendUpdate implements catalogsync.Peers: it sends the update to all peers. An update
// that does not fit into MaxDatagram bytes is sent without its events, and
// receivers that are behind its revision read them from the store.
func (r *Relay) SendUpdate(update catalogsync.Update) {
	r.sendToPeers(&message{From: r.cfg.Self, Update: &update})
}

// ReportSilent sends the incarnations of upstreams that did not answer probes, or
// that the probes found gone, to all peers, with a number other than 0 that their
// contradictions repeat. The caller must pass at most MaxReportedUpstreams.
func (r *Relay) ReportSilent(report uint64, upstreams []UpstreamIncarnation) {
	r.sendToPeers(&message{From: r.cfg.Self, Silent: upstreams, Answering: Answering{Report: report}})
}

// Contradict tells a peer that upstreams answer which it has reported as silent. It does
// nothing when the peer is unknown or its version reads only JSON. The caller must
// pass at most MaxReportedUpstreams.
func (r *Relay) Contradict(peer string, report uint64, answers []UpstreamAnswer) {
	r.mu.Lock()
	state, known := r.membership.byName[peer]
	r.mu.Unlock()
	if known && state.format == formatBinary {
		r.sendMessage(r.receiverOf(state.member), &message{From: r.cfg.Self, Answering: Answering{Report: report, Answers: answers}})
	}
}

// PassOn tells all peers which upstreams answer this instance or others although it has
// reported them as silent. Versions that read only JSON are left out. The caller must pass
// at most MaxReportedUpstreams.
func (r *Relay) PassOn(report uint64, answers []UpstreamAnswer) {
	m := &message{From: r.cfg.Self, Answering: Answering{Report: report, Answers: answers, PassedOn: true}}
	var encoded encodedMessage
	for _, peer := range r.Peers() {
		if to := r.receiverOf(peer); to.format == formatBinary {
			r.sendEncoded(to, m, &encoded)
		}
	}
}

// ReportLost sends the incarnations of upstreams that left requests without an
// answer to all peers. The slice has one entry for each such request; the caller
// must pass at most MaxReportedUpstreams entries.
func (r *Relay) ReportLost(upstreams []UpstreamIncarnation) {
	r.sendToPeers(&message{From: r.cfg.Self, Lost: upstreams})
}

// ReportLoad sends reports on the response times of the failure domain to loadPeers
// random peers, and to one random member of each other failure domain when such a report
// is due. A report on requests in flight that is not nil is sent to the peers that
// membership.inFlightReceivers returns, and to the loadPeers ones in the same message if it
// fits.
func (r *Relay) ReportLoad(reports load.Reports, inFlight inflight.Report) {
	r.mu.Lock()
	peers, others := r.membership.loadReceivers(time.Now())
	r.mu.Unlock()
	answers := LoadReport{Services: reports.Peers, Remote: reports.Remote}
	both := answers
	both.InFlight = inFlight
	switch {
	case inFlight != nil && r.fits(both):
		r.sendLoads(peers, both)
	case inFlight != nil:
		r.sendLoads(peers, answers)
		r.sendLoads(peers, LoadReport{InFlight: inFlight})
	case len(reports.Peers)+len(reports.Remote) > 0:
		r.sendLoads(peers, answers)
	}
	if inFlight != nil {
		r.sendInFlight(peers, LoadReport{InFlight: inFlight})
	}
	if reports.Others != nil {
		r.sendLoads(others, LoadReport{Services: reports.Others})
	}
}

// fits tells whether a report fits into a datagram. Receivers reject larger messages.
func (r *Relay) fits(report LoadReport) bool {
	data, err := (&message{From: r.cfg.Self, Loads: &report}).encode(formatBinary)
	return err == nil && len(data)+peerauth.Overhead <= MaxDatagram
}

func (r *Relay) sendLoads(members []Member, report LoadReport) {
	m := &message{From: r.cfg.Self, Loads: &report}
	for _, member := range members {
		if to := r.receiverOf(member); to.format == formatBinary {
			r.sendMessage(to, m)
		}
	}
}

// sendInFlight sends a report on requests in flight to all peers, or to as many as fit into
// inFlightBytesPerSecond, except those that have received it already.
func (r *Relay) sendInFlight(except []Member, report LoadReport) {
	m := &message{From: r.cfg.Self, Loads: &report}
	data, err := m.encode(formatBinary)
	if err != nil {
		r.cfg.Observer.Rejected(r.cfg.Self.Address, err)
		return
	}
	r.mu.Lock()
	receivers := r.membership.inFlightReceivers(time.Now(), len(data)+peerauth.Overhead)
	r.mu.Unlock()
	encoded := encodedMessage{formatBinary: encoding{data, m.kind()}}
	for _, member := range receivers {
		if to := r.receiverOf(member); to.format == formatBinary && !slices.Contains(except, member) {
			r.sendEncoded(to, m, &encoded)
		}
	}
}

// receiver says where a message goes.
type receiver struct {
	address netip.AddrPort
	// session is that of the member's last message, or 0 when the member is unknown or
	// was only mentioned.
	session peerauth.Session
	// format is formatBinary for members that are known to read it.
	format format
}

func (r *Relay) receiverOf(member Member) receiver {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.membership.byName[member.Name]
	return receiver{member.Address, state.session, state.format}
}

// sendToPeers sends a message to all peers.
func (r *Relay) sendToPeers(m *message) {
	var encoded encodedMessage
	for _, peer := range r.Peers() {
		r.sendEncoded(r.receiverOf(peer), m, &encoded)
	}
}

// encodedMessage holds the encodings of one message that goes to many receivers.
type encodedMessage [formatBinary + 1]encoding

// encoding is an encoded message of a kind; its data is nil until it is needed.
type encoding struct {
	data []byte
	kind MessageKind
}

// sendMessage sends a message. Lists that do not fit are shortened, those of the past
// first, and an update that does not fit is sent without its events.
func (r *Relay) sendMessage(to receiver, m *message) {
	var encoded encodedMessage
	r.sendEncoded(to, m, &encoded)
}

func (r *Relay) sendEncoded(to receiver, m *message, encoded *encodedMessage) {
	e := &encoded[to.format]
	if e.data == nil {
		var err error
		if *e, err = m.encodeToFit(to.format); err != nil {
			r.cfg.Observer.Rejected(to.address, err)
			return
		}
	}
	sealed := r.auth.Seal(to.session, e.data)
	if _, err := r.conn.WriteToUDPAddrPort(sealed, to.address); err != nil {
		r.cfg.Observer.Rejected(to.address, err)
		return
	}
	r.cfg.Observer.Sent(e.kind, len(sealed))
}

// encodeToFit encodes a message so that it fits into MaxDatagram bytes. It shortens the
// lists of m; the events of an update are left out of the encoding only, because the same
// update may fit in the other format: JSON takes several times as many bytes.
func (m *message) encodeToFit(f format) (encoding, error) {
	tooLarge := func(data []byte) bool { return len(data)+peerauth.Overhead > MaxDatagram }
	data, err := m.encode(f)
	for err == nil && tooLarge(data) && len(m.Members)+len(m.Replaced)+len(m.Missing) > 0 {
		if len(m.Replaced)+len(m.Missing) > 0 {
			m.Replaced, m.Missing = m.Replaced[:len(m.Replaced)/2], m.Missing[:len(m.Missing)/2]
		} else {
			m.Members = m.Members[:len(m.Members)/2]
		}
		data, err = m.encode(f)
	}
	if err == nil && tooLarge(data) && m.Update != nil && len(m.Update.Events) > 0 {
		// A receiver at the base revision takes the update as a confirmation; one
		// that is behind it sees a gap and reads the changes from the store.
		u, confirmation := m.Update, *m
		confirmation.Update = &catalogsync.Update{Kind: u.Kind, Era: u.Era, Base: u.Revision, Revision: u.Revision, Current: u.Current}
		m = &confirmation
		data, err = m.encode(f)
	}
	return encoding{data, m.kind()}, err
}
