package edge

import (
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/internal/relay"
)

// listenRelay opens the relay and creates the syncer, which receives the updates
// that peers pass on. It returns a *listen.Error.
func (instance *Instance) listenRelay(store catalogsync.Store) error {
	s := instance.settings
	var err error
	instance.relay, err = relay.Listen(relay.Config{
		Self:  relay.Member{Name: s.Instance, FailureDomain: s.FailureDomain, Address: s.PeerAddress},
		Seeds: s.Peers,
		OnUpdate: func(update catalogsync.Update) {
			instance.syncer.QueueUpdate(update)
		},
		OnSilentUpstream: func(from relay.Member, report uint64, u relay.UpstreamIncarnation) {
			instance.traffic.queuePeerReport(peerReport{upstream: u, from: from.Name, number: report})
		},
		OnAnswering: func(from relay.Member, answering relay.Answering) {
			instance.traffic.queueContradiction(contradictionReport{from.Name, answering, time.Now()})
		},
		OnLostRequest: func(u relay.UpstreamIncarnation) {
			instance.traffic.queuePeerReport(peerReport{upstream: u, lost: true})
		},
		OnPast: instance.applyPast,
		Past:   instance.past,
		OnLoad: func(from relay.Member, report relay.LoadReport) {
			instance.traffic.queueLoadReport(loadReport{from, report, time.Now()})
		},
		State: instance.publishedState,
		Holdings: func() relay.Holdings {
			h := instance.holdings()
			h.Seeking = instance.syncer.Seeking()
			return h
		},
		TakeOverFlows: instance.acceptFlows,
		Observer:      relayObserver{instance},
		Keys:          s.keys(),
	})
	if err != nil {
		return &listen.Error{Network: "udp", Address: s.PeerAddress, Err: err}
	}
	if len(s.PeerKeys) == 0 {
		instance.log.Event(logrus.WarnLevel, "peers_not_authenticated", logrus.Fields{"setting": "peer_keys"})
	}
	instance.traffic.sendSilent, instance.traffic.sendLost, instance.traffic.peerRank = instance.relay.ReportSilent, instance.relay.ReportLost, instance.relay.PeerRank
	instance.traffic.sendLoad = instance.relay.ReportLoad
	instance.traffic.contradict, instance.traffic.passOn = instance.relay.Contradict, instance.relay.PassOn
	instance.syncer = catalogsync.New(store, instance.relay, instance.events)
	return nil
}

// applyPast passes what another instance knows about the past to the catalog. It is
// dropped when the queue is full; the next answer to a hello repeats it.
func (instance *Instance) applyPast(past relay.Past) {
	var earlier catalog.EarlierIncarnations
	for _, incarnation := range past.Replaced {
		earlier.Incarnations = append(earlier.Incarnations, catalog.Incarnation(incarnation))
	}
	for _, event := range []catalog.Event{catalog.EvacuationsEnded{Evacuations: past.EndedEvacuations}, earlier, catalog.MissingUpstreams{Upstreams: past.Missing}} {
		select {
		case instance.events <- catalogsync.Event{Event: event}:
		default:
			instance.log.Event(logrus.WarnLevel, "past_dropped", logrus.Fields{
				"replaced": len(past.Replaced), "missing": len(past.Missing), "ended_evacuations": len(past.EndedEvacuations),
			})
		}
	}
}

// past returns what the published state shows about the past, with at most limit replaced
// incarnations and missing upstreams.
func (instance *Instance) past(limit int) (past relay.Past) {
	snapshot := instance.snapshot.Load()
	if snapshot == nil {
		return past
	}
	for _, incarnation := range snapshot.EarlierIncarnations(limit) {
		past.Replaced = append(past.Replaced, relay.UpstreamIncarnation(incarnation))
	}
	past.Missing = snapshot.MissingUpstreams(time.Now(), limit)
	past.EndedEvacuations = snapshot.EndedEvacuations(time.Now())
	return past
}

// publishedState returns the published state of a kind, for peers that start, and the time
// since the store confirmed it; false when it is not known.
func (instance *Instance) publishedState(kind catalog.Kind) (catalogsync.Update, time.Duration, bool) {
	snapshot := instance.snapshot.Load()
	if snapshot == nil || snapshot.AsOf(kind).IsZero() {
		return catalogsync.Update{}, 0, false
	}
	update := catalogsync.Update{Kind: kind, Era: snapshot.Eras[kind], Revision: snapshot.Revisions[kind]}
	if event := snapshot.StateEvent(kind); event != nil {
		update.Events = []catalog.Event{event}
	}
	return update, time.Since(snapshot.AsOf(kind)), true
}

// holdings returns the positions of the published state and the time at which the store was
// last heard about the kind with the oldest answer.
func (instance *Instance) holdings() relay.Holdings {
	snapshot := instance.snapshot.Load()
	if snapshot == nil {
		return relay.Holdings{}
	}
	var h relay.Holdings
	for kind, heard := range snapshot.Heard {
		if !heard.IsZero() {
			h.Positions[kind] = snapshot.Position(catalog.Kind(kind))
		}
		if kind == 0 || heard.Before(h.Heard) {
			h.Heard = heard
		}
	}
	return h
}

// relayObserver counts and logs the messages and member changes of the relay.
type relayObserver struct{ instance *Instance }

// Sent implements relay.Observer.
func (o relayObserver) Sent(kind relay.MessageKind, bytes int) {
	o.instance.metrics.countMessage(relaySent, kind, bytes)
}

// Received implements relay.Observer.
func (o relayObserver) Received(kind relay.MessageKind, bytes int) {
	o.instance.metrics.countMessage(relayReceived, kind, bytes)
}

// Rejected implements relay.Observer.
func (o relayObserver) Rejected(source netip.AddrPort, err error) {
	o.instance.metrics.countRefusedMessage(err)
	level := logrus.WarnLevel
	var unaccepted *peerauth.Error
	if errors.As(err, &unaccepted) && unaccepted.Reason == peerauth.WrongSession {
		// Each restart of the receiver causes such messages.
		level = logrus.InfoLevel
	}
	o.instance.log.Flow(level, "message_rejected", func() logrus.Fields {
		return logrus.Fields{"source": source.String(), "error": err}
	})
}

// MemberChanged implements relay.Observer.
func (o relayObserver) MemberChanged(member relay.Member, found bool) {
	event := "member_lost"
	if found {
		event = "member_found"
	}
	o.instance.log.Flow(logrus.InfoLevel, event, func() logrus.Fields {
		return logrus.Fields{"member": member.Name, "member_domain": member.FailureDomain, "address": member.Address.String()}
	})
}
