// Package relay exchanges messages between the instances of a failure domain,
// which are each other's peers. Two instances watch each kind of data in the
// store and send its changes to their peers. Every instance reports upstreams
// that do not answer its probes. An instance that starts while the store is
// unavailable fetches the state of another instance, and an instance that shuts
// down hands its flow records over to a peer. A lost message costs a call to the
// store, or lets callers run into an upstream that has ended.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/follow"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// helloInterval is the time between hellos to a random peer. An instance that
	// knows no peer sends hellos to the seeds.
	helloInterval = 2 * time.Second
	// seedHelloInterval is the time between hellos to the seeds while no peer is
	// known.
	seedHelloInterval = 300 * time.Millisecond
	// oversizeMargin is the number of bytes by which the receive buffer exceeds
	// MaxDatagram, so that a larger message shows as an error.
	oversizeMargin = 1
	// wrongSessionAnswersPerSecond bounds the answers to messages for other
	// incarnations, because such messages may be replayed. In a fleet of the
	// target size, the hellos of all instances to a new one stay within it.
	wrongSessionAnswersPerSecond = 200
)

// Observer receives the events of a Relay. It is called from several goroutines.
type Observer interface {
	// Sent and Received report one message and its size in bytes.
	Sent(bytes int)
	Received(bytes int)
	// Rejected reports a message that could not be accepted, encoded or sent.
	// The error is a *peerauth.Error, a *MessageError, or an error of the
	// encoding or the network.
	Rejected(source netip.AddrPort, err error)
	// MemberChanged reports a member whose first message arrived (found is true),
	// or that was removed because no message arrived for longer than
	// memberTimeout (found is false).
	MemberChanged(member Member, found bool)
}

// Config holds the settings and callbacks of a Relay.
type Config struct {
	Self Member
	// Seeds lists the addresses of instances that receive hellos while no peer is
	// known. An address may be out of date.
	Seeds []netip.AddrPort
	// OnUpdate is called with each update from a peer.
	OnUpdate func(follow.Update)
	// OnSilentUpstream is called with each upstream that did not answer a peer's
	// probes, OnLostRequest with each upstream that left a request of a peer's
	// caller without an answer.
	OnSilentUpstream, OnLostRequest func(UpstreamIncarnation)
	// State returns this instance's state of a kind and the time since the
	// store confirmed it; known is false while there is none.
	State func(catalog.Kind) (update follow.Update, age time.Duration, known bool)
	// TakeOverFlows takes over the flow records of a peer that shuts down. It
	// returns false when this instance cannot take them over.
	TakeOverFlows func([]forward.HandoverFlow) bool
	// Keys authenticate the messages: the first one signs, all are accepted.
	// Without keys, anybody can send messages.
	Keys     []peerauth.Key
	Observer Observer
}

// Relay exchanges messages with the other instances. It implements
// follow.Peers and is safe for concurrent use.
type Relay struct {
	cfg    Config
	conn   *net.UDPConn
	client *http.Client
	auth   *peerauth.Authenticator
	// wrongSessionAnswers limits the answers to messages for other incarnations to
	// wrongSessionAnswersPerSecond.
	wrongSessionAnswers *rate.Limiter

	mu         sync.Mutex
	membership *membership
}

// Listen opens the UDP socket at the address of cfg.Self and returns a Relay.
// It fails with an error of the network.
func Listen(cfg Config) (*Relay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Self.Address))
	if err != nil {
		return nil, fmt.Errorf("listen on udp %s: %w", cfg.Self.Address, err)
	}
	return &Relay{
		cfg: cfg, conn: conn, membership: newMembership(cfg.Self),
		auth: peerauth.NewAuthenticator(cfg.Keys), wrongSessionAnswers: rate.NewLimiter(wrongSessionAnswersPerSecond, wrongSessionAnswersPerSecond),
		client: &http.Client{Timeout: peerRequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// SetKeys replaces the keys: the first one signs, all are accepted.
func (r *Relay) SetKeys(keys []peerauth.Key) { r.auth.SetKeys(keys) }

// Close closes the socket of a Relay whose Run is not called. It fails with an
// error of the network.
func (r *Relay) Close() error { return r.conn.Close() }

// Run receives messages and sends hellos until ctx ends. It fails when the
// socket is closed before that.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = r.conn.Close() })
	defer stop()
	group.Go(func() error { return r.receiveDatagrams(ctx) })
	group.Go(func() error { r.sendHellos(ctx); return nil })
	return group.Wait()
}

func (r *Relay) receiveDatagrams(ctx context.Context) error {
	buffer := make([]byte, MaxDatagram+oversizeMargin)
	for {
		n, source, err := r.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// An earlier send caused the error; the socket stays usable.
			continue
		}
		r.cfg.Observer.Received(n)
		if err := r.handleDatagram(time.Now(), buffer[:n], source); err != nil {
			r.cfg.Observer.Rejected(source, err)
		}
	}
}

// handleDatagram authenticates, decodes and handles a message. A message for
// another incarnation is not handled: it is answered, within the rate
// wrongSessionAnswersPerSecond, with a hello that carries this instance's session.
// It fails with *peerauth.Error or *MessageError.
func (r *Relay) handleDatagram(now time.Time, datagram []byte, source netip.AddrPort) error {
	session, payload, err := r.auth.Open(datagram)
	var authErr *peerauth.Error
	wrongSession := errors.As(err, &authErr) && authErr.Reason == peerauth.WrongSession
	if err != nil && !wrongSession {
		return err
	}
	m, decodeErr := decodeMessage(payload)
	if decodeErr != nil {
		return decodeErr
	}
	if !wrongSession {
		r.handleMessage(now, m, session, source)
		return nil
	}
	if r.wrongSessionAnswers.AllowN(now, 1) {
		r.sendMessage(m.From.Address, session, &message{From: r.cfg.Self, Hello: true, Members: r.membersFor(m.From.FailureDomain)})
	}
	if m.Hello {
		// A new incarnation sends its first hello before it knows this instance's
		// session, so such a hello is no error.
		return nil
	}
	return err
}

// handleMessage records the sender as a member, answers a hello, and passes the
// update and the reports of a message from the own failure domain to the
// callbacks.
func (r *Relay) handleMessage(now time.Time, m *message, session peerauth.Session, source netip.AddrPort) {
	r.recordMessage(now, m, session)
	if m.Hello {
		r.sendMessage(m.From.Address, session, &message{From: r.cfg.Self, Members: r.membersFor(m.From.FailureDomain)})
	}
	if m.From.FailureDomain != r.cfg.Self.FailureDomain {
		return
	}
	if m.Update != nil {
		update, err := m.Update.decode()
		if err != nil {
			r.cfg.Observer.Rejected(source, err)
			return
		}
		r.mu.Lock()
		r.membership.recordWatch(now, m.From.Name, update.Kind)
		r.mu.Unlock()
		r.cfg.OnUpdate(update)
	}
	for _, upstream := range m.Silent {
		r.cfg.OnSilentUpstream(upstream)
	}
	for _, upstream := range m.Lost {
		r.cfg.OnLostRequest(upstream)
	}
}

// recordMessage adds the sender of a message and the members that it lists to the
// membership, and reports a sender that was not heard before.
func (r *Relay) recordMessage(now time.Time, m *message, session peerauth.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := m.From.Name == r.cfg.Self.Name || r.membership.byName[m.From.Name].session != 0
	r.membership.recordMessage(now, m.From, session)
	for _, member := range m.Members {
		r.membership.recordMention(now, member)
	}
	if !known {
		r.cfg.Observer.MemberChanged(m.From, true)
	}
}

func (r *Relay) membersFor(domain string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.list(domain)
}

// sendHellos sends a hello to a random peer, or to the seeds while no peer is
// known, and removes expired members, until ctx ends.
func (r *Relay) sendHellos(ctx context.Context) {
	for ctx.Err() == nil {
		wait := helloInterval
		hello := &message{From: r.cfg.Self, Hello: true}
		if peers := r.Peers(); len(peers) > 0 {
			peer := peers[rand.IntN(len(peers))]
			r.sendMessage(peer.Address, r.sessionOf(peer), hello)
		} else {
			wait = seedHelloInterval
			for _, seed := range r.cfg.Seeds {
				if seed != r.cfg.Self.Address {
					r.sendMessage(seed, 0, hello)
				}
			}
		}
		r.expireMembers(time.Now())
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// expireMembers removes expired members and reports those that were heard before.
func (r *Relay) expireMembers(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := make(map[string]memberState, len(r.membership.byName))
	for name, state := range r.membership.byName {
		before[name] = state
	}
	r.membership.expire(now)
	for name, state := range before {
		// Members that were only mentioned are not reported: other instances'
		// mentions add and expiry removes them repeatedly.
		if _, kept := r.membership.byName[name]; !kept && state.session != 0 {
			r.cfg.Observer.MemberChanged(state.member, false)
		}
	}
}

// Peers returns the known peers, sorted by name: the other instances of the
// failure domain.
func (r *Relay) Peers() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.peers()
}

// PeerRank returns the rank of this instance by name among the instances of its
// failure domain, from 0, and the largest number of such instances within
// peakRetention, itself included.
func (r *Relay) PeerRank(now time.Time) (rank, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.peerRank(now)
}

// IsWatcher implements follow.Peers: it tells whether this instance has to watch
// the kind.
func (r *Relay) IsWatcher(now time.Time, kind catalog.Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.isWatcher(now, kind)
}

// SendUpdate implements follow.Peers: it sends the update to all peers. An update
// that does not fit into MaxDatagram bytes is sent without its events.
func (r *Relay) SendUpdate(update follow.Update) {
	m := &message{From: r.cfg.Self, Update: encodeUpdate(update)}
	data, err := json.Marshal(m)
	if err == nil && len(data)+peerauth.Overhead > MaxDatagram {
		// The receivers do not have this base revision, so they read the changes
		// from the store.
		m.Update = &wireUpdate{Kind: update.Kind, Base: update.Revision, Revision: update.Revision}
		data, err = json.Marshal(m)
	}
	if err != nil {
		r.cfg.Observer.Rejected(r.cfg.Self.Address, err)
		return
	}
	for _, peer := range r.Peers() {
		r.sendPayload(peer.Address, r.sessionOf(peer), data)
	}
}

// ReportSilent sends the incarnations of upstreams that do not answer probes to all
// peers; at most MaxReportedUpstreams.
func (r *Relay) ReportSilent(upstreams []UpstreamIncarnation) {
	r.sendToPeers(&message{From: r.cfg.Self, Silent: upstreams})
}

// ReportLost sends the incarnations of upstreams that left a request without an answer
// to all peers, once for each request; at most MaxReportedUpstreams.
func (r *Relay) ReportLost(upstreams []UpstreamIncarnation) {
	r.sendToPeers(&message{From: r.cfg.Self, Lost: upstreams})
}

// sendToPeers sends a message to all peers.
func (r *Relay) sendToPeers(m *message) {
	for _, peer := range r.Peers() {
		r.sendMessage(peer.Address, r.sessionOf(peer), m)
	}
}

// sessionOf returns the session of the member's incarnation that was heard last,
// or 0 when this instance has received no message from the member.
func (r *Relay) sessionOf(member Member) peerauth.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.byName[member.Name].session
}

func (r *Relay) sendMessage(to netip.AddrPort, session peerauth.Session, m *message) {
	data, err := json.Marshal(m)
	if err != nil {
		r.cfg.Observer.Rejected(to, err)
		return
	}
	r.sendPayload(to, session, data)
}

func (r *Relay) sendPayload(to netip.AddrPort, session peerauth.Session, data []byte) {
	sealed := r.auth.Seal(session, data)
	if _, err := r.conn.WriteToUDPAddrPort(sealed, to); err != nil {
		r.cfg.Observer.Rejected(to, err)
		return
	}
	r.cfg.Observer.Sent(len(sealed))
}
