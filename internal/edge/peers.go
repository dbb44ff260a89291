package edge

import (
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/follow"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/internal/relay"
)

// listenRelay opens the relay and creates the follower, which receives the updates
// that peers pass on. It returns a *listen.Error.
func (instance *Instance) listenRelay(store follow.Store) error {
	s := instance.settings
	var err error
	instance.relay, err = relay.Listen(relay.Config{
		Self:  relay.Member{Name: s.Instance, FailureDomain: s.FailureDomain, Address: s.PeerAddress},
		Seeds: s.Peers,
		Passed: func(update follow.Update) {
			instance.follower.Passed(update)
		},
		Silent:    func(u relay.UpstreamName) { instance.traffic.queuePeerReport(peerReport{upstream: u}) },
		Lost:      func(u relay.UpstreamName) { instance.traffic.queuePeerReport(peerReport{upstream: u, lost: true}) },
		Knowledge: instance.knowledge,
		Flows:     instance.acceptFlows,
		Observer:  relayObserver{instance},
		Keys:      s.keys(),
	})
	if err != nil {
		return &listen.Error{Network: "udp", Address: s.PeerAddress, Err: err}
	}
	if len(s.PeerKeys) == 0 {
		instance.log.Event(logrus.WarnLevel, "peers_not_authenticated", logrus.Fields{"setting": "peer_keys"})
	}
	instance.traffic.sendSilent, instance.traffic.sendLost, instance.traffic.sharing = instance.relay.ReportSilent, instance.relay.ReportLost, instance.relay.Sharing
	instance.follower = follow.New(store, instance.relay, instance.events)
	return nil
}

// knowledge returns the published state of a kind, for peers that start, and the time
// since the store confirmed it; false when it is not known.
func (instance *Instance) knowledge(kind catalog.Kind) (follow.Update, time.Duration, bool) {
	snapshot := instance.snapshot.Load()
	if snapshot == nil || snapshot.Confirmed[kind].IsZero() {
		return follow.Update{}, 0, false
	}
	update := follow.Update{Kind: kind, Revision: snapshot.Revisions[kind]}
	if event := snapshot.Knowledge(kind); event != nil {
		update.Events = []catalog.Event{event}
	}
	return update, time.Since(snapshot.Confirmed[kind]), true
}

// relayObserver counts and logs the messages and member changes of the relay.
type relayObserver struct{ instance *Instance }

// Sent implements relay.Observer.
func (o relayObserver) Sent(bytes int) { o.instance.metrics.countMessage(relaySent, bytes) }

// Received implements relay.Observer.
func (o relayObserver) Received(bytes int) { o.instance.metrics.countMessage(relayReceived, bytes) }

// Rejected implements relay.Observer.
func (o relayObserver) Rejected(source netip.AddrPort, err error) {
	o.instance.metrics.countRefusedMessage(err)
	level := logrus.WarnLevel
	var unaccepted *peerauth.Error
	if errors.As(err, &unaccepted) && unaccepted.Reason == peerauth.Unbound {
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
