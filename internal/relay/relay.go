// Package relay passes changes between the instances of a failure domain: two
// of them watch the store and pass on what it says, any of them reports
// upstreams that its probes found silent, one that starts while the store is
// away borrows the knowledge of another, and one that leaves hands over the
// flows that it remembers. Losing a message costs a call to the store, or lets
// callers find out themselves that an upstream has ended.
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
	// helloInterval is the time between greetings to a random mate; an instance
	// that knows none greets the seeds.
	helloInterval = 2 * time.Second
	// firstHello is the time between greetings to the seeds until a mate has
	// answered.
	firstHello = 300 * time.Millisecond
	// readSlack makes a message above MaxDatagram visible as an error.
	readSlack = 1
	// answersPerSecond bounds the answers to messages for other incarnations,
	// which may be replayed: all instances of the target size greet a new one
	// within this rate.
	answersPerSecond = 200
)

// Observer receives what the relay does. It is called from several goroutines.
type Observer interface {
	// Sent and Received count messages and their bytes.
	Sent(bytes int)
	Received(bytes int)
	// Rejected reports a message that cannot be used, with *peerauth.Error or
	// *MessageError, or an error of the network.
	Rejected(source netip.AddrPort, err error)
	// MemberChanged reports a member that was found or lost.
	MemberChanged(member Member, found bool)
}

// Config sets up a Relay.
type Config struct {
	Self Member
	// Seeds are addresses of instances to greet at the start; they may be stale.
	Seeds []netip.AddrPort
	// Passed receives the updates of mates.
	Passed func(follow.Update)
	// Silent receives the upstreams that mates found silent, Lost those that left
	// a request without an answer.
	Silent, Lost func(UpstreamName)
	// Knowledge returns what this instance knows of a kind, and its age.
	Knowledge func(catalog.Kind) (update follow.Update, age time.Duration, known bool)
	// Flows takes flows over from a mate that leaves; false when it cannot.
	Flows func([]forward.FlowState) bool
	// Keys authenticate the messages; without any, anybody can send them.
	Keys     []peerauth.Key
	Observer Observer
}

// Relay exchanges messages with the other instances. It implements
// follow.Mates.
type Relay struct {
	cfg    Config
	conn   *net.UDPConn
	client *http.Client
	guard  *peerauth.Guard
	// answers bounds the answers to messages for other incarnations.
	answers *rate.Limiter

	mu      sync.Mutex
	members *members
}

// Listen opens the socket. It fails with an error of the network.
func Listen(cfg Config) (*Relay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Self.Address))
	if err != nil {
		return nil, fmt.Errorf("listen on udp %s: %w", cfg.Self.Address, err)
	}
	return &Relay{
		cfg: cfg, conn: conn, members: newMembers(cfg.Self),
		guard: peerauth.NewGuard(cfg.Keys), answers: rate.NewLimiter(answersPerSecond, answersPerSecond),
		client: &http.Client{Timeout: knowledgeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// SetKeys changes the keys: the first one signs, all are accepted.
func (r *Relay) SetKeys(keys []peerauth.Key) { r.guard.SetKeys(keys) }

// Close closes the socket of a relay that does not run.
func (r *Relay) Close() error { return r.conn.Close() }

// Run receives and greets until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = r.conn.Close() })
	defer stop()
	group.Go(func() error { return r.receive(ctx) })
	group.Go(func() error { r.greet(ctx); return nil })
	return group.Wait()
}

func (r *Relay) receive(ctx context.Context) error {
	buffer := make([]byte, MaxDatagram+readSlack)
	for {
		n, source, err := r.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// An error that an earlier send caused; the socket stays usable.
			continue
		}
		r.cfg.Observer.Received(n)
		if err := r.open(time.Now(), buffer[:n], source); err != nil {
			r.cfg.Observer.Rejected(source, err)
		}
	}
}

// open opens a message and acts on it. One that is meant for another incarnation
// only shows its sender this instance's session. It fails with *peerauth.Error
// or *MessageError.
func (r *Relay) open(now time.Time, datagram []byte, source netip.AddrPort) error {
	session, payload, err := r.guard.Open(datagram)
	var unaccepted *peerauth.Error
	unbound := errors.As(err, &unaccepted) && unaccepted.Reason == peerauth.Unbound
	if err != nil && !unbound {
		return err
	}
	m, decodeErr := decodeMessage(payload)
	if decodeErr != nil {
		return decodeErr
	}
	if !unbound {
		r.handle(now, m, session, source)
		return nil
	}
	if r.answers.AllowN(now, 1) {
		r.send(m.From.Address, session, &message{From: r.cfg.Self, Hello: true, Members: r.listFor(m.From.FailureDomain)})
	}
	if m.Hello {
		// The first message of an incarnation cannot name this one's session.
		return nil
	}
	return err
}

func (r *Relay) handle(now time.Time, m *message, session peerauth.Session, source netip.AddrPort) {
	r.hear(now, m, session)
	if m.Hello {
		r.send(m.From.Address, session, &message{From: r.cfg.Self, Members: r.listFor(m.From.FailureDomain)})
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
		r.members.watching(now, m.From.Name, update.Kind)
		r.mu.Unlock()
		r.cfg.Passed(update)
	}
	for _, upstream := range m.Silent {
		r.cfg.Silent(upstream)
	}
	for _, upstream := range m.Lost {
		r.cfg.Lost(upstream)
	}
}

func (r *Relay) hear(now time.Time, m *message, session peerauth.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := m.From.Name == r.cfg.Self.Name || r.members.heard[m.From.Name].session != 0
	r.members.hear(now, m.From, session)
	for _, member := range m.Members {
		r.members.mention(now, member)
	}
	if !known {
		r.cfg.Observer.MemberChanged(m.From, true)
	}
}

func (r *Relay) listFor(domain string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.list(domain)
}

// greet keeps the list of members alive.
func (r *Relay) greet(ctx context.Context) {
	for ctx.Err() == nil {
		wait := helloInterval
		hello := &message{From: r.cfg.Self, Hello: true}
		if mates := r.Mates(); len(mates) > 0 {
			mate := mates[rand.IntN(len(mates))]
			r.send(mate.Address, r.sessionOf(mate), hello)
		} else {
			wait = firstHello
			for _, seed := range r.cfg.Seeds {
				if seed != r.cfg.Self.Address {
					r.send(seed, 0, hello)
				}
			}
		}
		r.expire(time.Now())
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (r *Relay) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := make(map[string]memberState, len(r.members.heard))
	for name, state := range r.members.heard {
		before[name] = state
	}
	r.members.expire(now)
	for name, state := range before {
		// Members that were only mentioned come and go with the mentions.
		if _, kept := r.members.heard[name]; !kept && state.session != 0 {
			r.cfg.Observer.MemberChanged(state.member, false)
		}
	}
}

// Mates returns the known instances of the failure domain.
func (r *Relay) Mates() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.mates()
}

// Sharing returns the place of this instance among those of its failure domain,
// and their number.
func (r *Relay) Sharing(now time.Time) (rank, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.sharing(now)
}

// OnDuty implements follow.Mates.
func (r *Relay) OnDuty(now time.Time, kind catalog.Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.onDuty(now, kind)
}

// Pass implements follow.Mates. An update that does not fit is announced
// without its events.
func (r *Relay) Pass(update follow.Update) {
	m := &message{From: r.cfg.Self, Update: encodeUpdate(update)}
	data, err := json.Marshal(m)
	if err == nil && len(data)+peerauth.Overhead > MaxDatagram {
		// A base that nobody has makes the receivers ask the store.
		m.Update = &wireUpdate{Kind: update.Kind, Base: update.Revision, Revision: update.Revision}
		data, err = json.Marshal(m)
	}
	if err != nil {
		r.cfg.Observer.Rejected(r.cfg.Self.Address, err)
		return
	}
	for _, mate := range r.Mates() {
		r.write(mate.Address, r.sessionOf(mate), data)
	}
}

// ReportSilent tells the mates of at most MaxNames upstreams that do not answer
// probes.
func (r *Relay) ReportSilent(upstreams []UpstreamName) {
	r.tell(&message{From: r.cfg.Self, Silent: upstreams})
}

// ReportLost tells the mates of at most MaxNames requests without an answer.
func (r *Relay) ReportLost(upstreams []UpstreamName) {
	r.tell(&message{From: r.cfg.Self, Lost: upstreams})
}

// tell sends a message to all mates.
func (r *Relay) tell(m *message) {
	for _, mate := range r.Mates() {
		r.send(mate.Address, r.sessionOf(mate), m)
	}
}

// sessionOf returns the session of a member's present incarnation, 0 when this
// instance has not heard of it itself.
func (r *Relay) sessionOf(member Member) peerauth.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.heard[member.Name].session
}

func (r *Relay) send(to netip.AddrPort, session peerauth.Session, m *message) {
	data, err := json.Marshal(m)
	if err != nil {
		r.cfg.Observer.Rejected(to, err)
		return
	}
	r.write(to, session, data)
}

func (r *Relay) write(to netip.AddrPort, session peerauth.Session, data []byte) {
	sealed := r.guard.Seal(session, data)
	if _, err := r.conn.WriteToUDPAddrPort(sealed, to); err != nil {
		r.cfg.Observer.Rejected(to, err)
		return
	}
	r.cfg.Observer.Sent(len(sealed))
}
