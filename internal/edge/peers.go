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

// listenRelay opens the relay and sets up the follower that it feeds.
func (i *Instance) listenRelay(store follow.Store) error {
	s := i.settings
	var err error
	i.relay, err = relay.Listen(relay.Config{
		Self:  relay.Member{Name: s.Instance, FailureDomain: s.FailureDomain, Address: s.PeerAddress},
		Seeds: s.Peers,
		Passed: func(update follow.Update) {
			i.follower.Passed(update)
		},
		Silent:    func(u relay.UpstreamName) { i.traffic.reported(report{upstream: u}) },
		Lost:      func(u relay.UpstreamName) { i.traffic.reported(report{upstream: u, lost: true}) },
		Knowledge: i.knowledge,
		Flows:     i.takeFlows,
		Observer:  relayObserver{i},
		Keys:      s.keys(),
	})
	if err != nil {
		return &listen.Error{Network: "udp", Address: s.PeerAddress, Err: err}
	}
	if len(s.PeerKeys) == 0 {
		i.log.Event(logrus.WarnLevel, "peers_not_authenticated", logrus.Fields{"setting": "peer_keys"})
	}
	i.traffic.silent, i.traffic.lost, i.traffic.sharing = i.relay.ReportSilent, i.relay.ReportLost, i.relay.Sharing
	i.follower = follow.New(store, i.relay, i.events)
	return nil
}

// knowledge returns what this instance knows of a kind.
func (i *Instance) knowledge(kind catalog.Kind) (follow.Update, time.Duration, bool) {
	view := i.view.Load()
	if view == nil || view.Confirmed[kind].IsZero() {
		return follow.Update{}, 0, false
	}
	update := follow.Update{Kind: kind, Revision: view.Revisions[kind]}
	if event := view.Knowledge(kind); event != nil {
		update.Events = []catalog.Event{event}
	}
	return update, time.Since(view.Confirmed[kind]), true
}

// relayObserver counts and logs what the relay reports.
type relayObserver struct{ instance *Instance }

// Sent implements relay.Observer.
func (o relayObserver) Sent(bytes int) { o.instance.metrics.relayed(relaySent, bytes) }

// Received implements relay.Observer.
func (o relayObserver) Received(bytes int) { o.instance.metrics.relayed(relayReceived, bytes) }

// Rejected implements relay.Observer.
func (o relayObserver) Rejected(source netip.AddrPort, err error) {
	o.instance.metrics.relayRefused(err)
	level := logrus.WarnLevel
	var unaccepted *peerauth.Error
	if errors.As(err, &unaccepted) && unaccepted.Reason == peerauth.Unbound {
		// It follows each restart of the receiver.
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
