// Package relay exchanges messages between the instances of the fleet. Those of
// one failure domain are each other's peers. Usually two of them watch each kind
// of data in the store and send its changes to their peers. Every instance
// reports to its peers the upstreams that do not answer its probes or that left
// requests without an answer. An instance that shuts down hands its flow records
// over to a peer. Hellos, lists of members and requests for state also cross
// failure domains: an instance that starts while the store is unavailable fetches
// the state of a peer or a seed. A lost message costs a call to the store, or lets
// callers run into an upstream that has ended.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// oversizeMargin is the number of bytes by which the receive buffer exceeds
	// MaxDatagram. A datagram that does not fit into the buffer is truncated, so
	// its authentication code does not match.
	oversizeMargin = 1
	// wrongSessionAnswersPerSecond bounds the answers to messages for other
	// sessions, because such messages may be replayed. In a fleet of the
	// target size, the hellos of all instances to a new one stay within it.
	wrongSessionAnswersPerSecond = 200
)

// Observer receives the events of a Relay. It is called from several goroutines.
type Observer interface {
	// Sent and Received report one message and its size in bytes. Received is also
	// called for datagrams that are rejected, with KindUnreadable.
	Sent(kind MessageKind, bytes int)
	Received(kind MessageKind, bytes int)
	// Rejected reports a message that could not be accepted, encoded or sent.
	// The error is a *peerauth.Error, a *MessageError, or an error of the
	// encoding or the network. The address remote is the source of a datagram or
	// an HTTP request, the instance whose HTTP response is not authentic, or the
	// destination of a message that could not be encoded or sent. It is the own
	// address for an update that could not be encoded, and zero when the source
	// of a request cannot be parsed. An authentic response that cannot be decoded
	// is reported by StateFetchFailed.
	Rejected(remote netip.AddrPort, err error)
	// MemberChanged reports a member of any failure domain whose first message
	// arrived (found is true), or that was removed because no instance heard it for
	// longer than 40 s (found is false). A new incarnation or address under a
	// known name is not reported. MemberChanged must not call the Relay, which
	// holds its lock during the call.
	MemberChanged(member Member, found bool)
	// StateFetchFailed reports a request for state that failed. Requests that FetchState
	// ended itself are not reported.
	StateFetchFailed(failed FailedFetch)
}

// Config holds the settings and callbacks of a Relay. All callbacks and the
// Observer are required. OnUpdate, OnSilentUpstream and OnLostRequest are called
// on the goroutine that receives datagrams; State and TakeOverFlows are called
// concurrently, on the goroutines that serve HTTP requests.
type Config struct {
	// Self is this instance. Listen opens the UDP socket at its address.
	Self Member
	// Seeds lists the addresses of instances that receive hellos while no peer is
	// known or this instance lacks state. An address may be out of date.
	Seeds []netip.AddrPort
	// OnUpdate is called with each update from a peer.
	OnUpdate func(catalogsync.Update)
	// OnSilentUpstream is called with each upstream that did not answer a peer's
	// probes or that the probes found gone, and the number of the report, 0 from versions
	// without numbers. OnLostRequest is called with each upstream that left a request of a
	// peer's caller without an answer.
	OnSilentUpstream func(from Member, report uint64, upstream UpstreamIncarnation)
	OnLostRequest    func(UpstreamIncarnation)
	// OnAnswering is called with the answers by which a peer contradicts a report of
	// silent upstreams, of this instance or its own, on the goroutine that receives
	// datagrams.
	OnAnswering func(from Member, answering Answering)
	// OnPast is called with what a member of any failure domain knows about the past, on
	// the goroutine that receives datagrams.
	OnPast func(Past)
	// Past returns what this instance knows about the past, with at most limit replaced
	// incarnations and missing upstreams.
	Past func(limit int) Past
	// OnLoad is called with what an instance reports on response times and requests in
	// flight, on the goroutine that receives datagrams.
	OnLoad func(from Member, report LoadReport)
	// State returns this instance's state of a kind and the time since the
	// store confirmed it; known is false while there is none.
	State func(catalog.Kind) (update catalogsync.Update, age time.Duration, known bool)
	// Holdings returns the positions of the state that State returns. It is called
	// for every hello.
	Holdings func() Holdings
	// TakeOverFlows takes over the flow records of an instance that shuts down.
	// It returns false when this instance cannot take them over.
	TakeOverFlows func([]forward.HandoverFlow) bool
	// Keys authenticate the messages: the first one signs, all are accepted.
	// Without keys, anybody can send messages.
	Keys     []peerauth.Key
	Observer Observer
}

// Relay exchanges messages with the other instances. It implements
// catalogsync.Peers and is safe for concurrent use.
type Relay struct {
	cfg    Config
	conn   *net.UDPConn
	client *http.Client
	auth   *peerauth.Authenticator
	// wrongSessionAnswers limits the answers to messages for other sessions to
	// wrongSessionAnswersPerSecond.
	wrongSessionAnswers *rate.Limiter
	// largeStates holds an element for each large state that is being sent, stateBytes the
	// size of the state of each kind that was sent last.
	largeStates chan struct{}
	stateBytes  [3]atomic.Int64

	mu         sync.Mutex
	membership *membership
	// sourcesChanged is closed and replaced when a member reports positions, so that
	// FetchState looks for a source again.
	sourcesChanged chan struct{}
	// wake makes sendHellos start its next round at once.
	wake chan struct{}
}

// Listen opens the UDP socket at the address of cfg.Self and returns a Relay.
// It fails with an error of the network.
func Listen(cfg Config) (*Relay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Self.Address))
	if err != nil {
		return nil, fmt.Errorf("listen on udp %s: %w", cfg.Self.Address, err)
	}
	return &Relay{
		cfg: cfg, conn: conn, membership: newMembership(cfg.Self), sourcesChanged: make(chan struct{}), wake: make(chan struct{}, 1),
		auth: peerauth.NewAuthenticator(cfg.Keys), wrongSessionAnswers: rate.NewLimiter(wrongSessionAnswersPerSecond, wrongSessionAnswersPerSecond),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, largeStates: make(chan struct{}, maxLargeStates),
	}, nil
}

// SetKeys replaces the keys: the first one signs, all are accepted. Without keys,
// anybody can send messages.
func (r *Relay) SetKeys(keys []peerauth.Key) { r.auth.SetKeys(keys) }

// Close closes the socket of a Relay whose Run is not called; Run closes it
// itself. It fails with an error of the network.
func (r *Relay) Close() error { return r.conn.Close() }

// Run receives messages and sends hellos until ctx ends; then it closes the socket
// and returns nil. It fails when the socket is closed before that. It can be called
// only once.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() { _ = r.conn.Close(); close(closed) }) // Close fails only if the socket has been closed.
	group.Go(func() error { return r.receiveDatagrams(ctx) })
	group.Go(func() error { r.sendHellos(ctx); return nil })
	err := group.Wait() // It also ends ctx.
	// A read ends before the socket is closed, and the address can be opened again only then.
	<-closed
	return err
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
			// Other errors, such as one that an earlier send caused, leave the
			// socket usable.
			continue
		}
		if err := r.handleDatagram(time.Now(), buffer[:n]); err != nil {
			r.cfg.Observer.Rejected(source, err)
		}
	}
}

// handleDatagram authenticates, decodes and handles a message. A message that was
// sealed for another session is not handled: it is answered, within the rate
// wrongSessionAnswersPerSecond, with a hello, from which its sender learns this
// instance's session. It fails with *peerauth.Error or *MessageError.
func (r *Relay) handleDatagram(now time.Time, datagram []byte) error {
	senderSession, payload, err := r.auth.Open(datagram)
	var authErr *peerauth.Error
	wrongSession := errors.As(err, &authErr) && authErr.Reason == peerauth.WrongSession
	if err != nil && !wrongSession {
		r.cfg.Observer.Received(KindUnreadable, len(datagram))
		return err
	}
	m, decodeErr := decodeMessage(payload)
	if decodeErr != nil {
		r.cfg.Observer.Received(KindUnreadable, len(datagram))
		return decodeErr
	}
	r.cfg.Observer.Received(m.kind(), len(datagram))
	if !wrongSession {
		r.handleMessage(now, m, senderSession)
		return nil
	}
	if r.wrongSessionAnswers.AllowN(now, 1) {
		answer := r.ownMessage()
		answer.Hello, answer.Members, answer.Past = true, r.membersFor(now, m.From.FailureDomain), r.cfg.Past(maxReplaced)
		r.sendMessage(receiver{m.From.Address, senderSession, m.senderFormat()}, answer)
	}
	if m.Hello {
		// An instance sends its first hello before it knows this instance's
		// session, so such a hello is no error.
		return nil
	}
	return err
}

// handleMessage records the sender as a member, answers the message if it needs an
// answer, and passes the update and the reports of a message from the own failure
// domain to the callbacks.
func (r *Relay) handleMessage(now time.Time, m *message, senderSession peerauth.Session) {
	if answer := r.recordMessage(now, m, senderSession); answer != nil {
		if m.Hello {
			answer.Past = r.cfg.Past(maxReplaced)
		}
		r.sendMessage(receiver{m.From.Address, senderSession, m.senderFormat()}, answer)
	}
	if len(m.Replaced)+len(m.Missing)+len(m.EndedEvacuations) > 0 {
		r.cfg.OnPast(m.Past)
	}
	if m.Loads != nil {
		r.cfg.OnLoad(m.From, *m.Loads)
	}
	if m.From.FailureDomain != r.cfg.Self.FailureDomain {
		return
	}
	if m.Update != nil {
		r.mu.Lock()
		// A member that has not noticed a restoration does not watch the current era.
		if m.Update.Era >= r.cfg.Holdings().Positions[m.Update.Kind].Era {
			r.membership.recordWatch(now, m.From.Name, m.Update.Kind)
		}
		r.mu.Unlock()
		r.cfg.OnUpdate(*m.Update)
	}
	for _, upstream := range m.Silent {
		r.cfg.OnSilentUpstream(m.From, m.Answering.Report, upstream)
	}
	if len(m.Answering.Answers) > 0 {
		r.cfg.OnAnswering(m.From, m.Answering)
	}
	for _, upstream := range m.Lost {
		r.cfg.OnLostRequest(upstream)
	}
}

// recordMessage records a message in the membership, reports a sender that was unknown
// or only mentioned before, and returns the answer, or nil.
func (r *Relay) recordMessage(now time.Time, m *message, senderSession peerauth.Session) *message {
	own := r.cfg.Holdings().Positions
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := m.From.Name == r.cfg.Self.Name || r.membership.byName[m.From.Name].session != 0
	answer, announce := r.membership.receive(now, m, senderSession, own)
	if announce {
		r.wakeHellos()
	}
	if m.Positions != nil {
		close(r.sourcesChanged)
		r.sourcesChanged = make(chan struct{})
	}
	if !heard {
		r.cfg.Observer.MemberChanged(m.From, true)
	}
	return answer
}

// ownMessage returns a message with this instance's positions.
func (r *Relay) ownMessage() *message {
	positions := r.cfg.Holdings().Positions
	return &message{From: r.cfg.Self, Positions: &positions}
}

func (r *Relay) membersFor(now time.Time, domain string) []mention {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.list(now, domain)
}

// sendHellos sends the hellos and announcements that membership.nextRound selects, and
// removes expired members, until ctx ends.
func (r *Relay) sendHellos(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		next := r.nextRound(now)
		hello, announcement := r.ownMessage(), r.ownMessage()
		hello.Hello, announcement.Announcement = true, true
		for _, member := range next.hellos {
			r.sendMessage(r.receiverOf(member), hello)
		}
		for _, member := range next.announce {
			r.sendMessage(r.receiverOf(member), announcement)
		}
		for _, seed := range r.cfg.Seeds {
			if next.seeds && seed != r.cfg.Self.Address {
				r.sendMessage(receiver{address: seed}, hello)
			}
		}
		r.expireMembers(now)
		timer := time.NewTimer(next.wait)
		select {
		case <-timer.C:
		case <-r.wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (r *Relay) wakeHellos() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Leave makes this instance announce its state to the members that may lack some until
// it exits.
func (r *Relay) Leave() {
	r.mu.Lock()
	r.membership.leaving = true
	r.mu.Unlock()
	r.wakeHellos()
}

// Lacking returns the number of members that reported incomplete state within the
// last second.
func (r *Relay) Lacking(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.lacking(now)
}

// MembersHolding returns the number of known members, and that of members that
// reported complete state within the last second.
func (r *Relay) MembersHolding(now time.Time) (known, holding int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range r.membership.byName {
		if state.holds(now) {
			holding++
		}
	}
	return len(r.membership.byName), holding
}

func (r *Relay) nextRound(now time.Time) round {
	holdings := r.cfg.Holdings()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.nextRound(now, holdings)
}

// expireMembers removes expired members and reports those that had sent a message.
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
// failure domain, including those that are known only from other instances' lists.
func (r *Relay) Peers() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.peers()
}

// PeerRank returns the rank of this instance by name among the instances of its
// failure domain that it knows now, from 0, and the largest number of such
// instances that PeerRank has counted, itself included. The largest number is
// replaced by the current one when it was not reached for more than 60 s.
func (r *Relay) PeerRank(now time.Time) (rank, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.peerRank(now)
}

// IsWatcher implements catalogsync.Peers: it tells whether this instance has to watch
// the kind.
func (r *Relay) IsWatcher(now time.Time, kind catalog.Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.isWatcher(now, kind)
}
