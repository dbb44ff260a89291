// Package relay passes changes between the instances of a failure domain: two
// of them watch the store and pass on what it says, any of them reports
// upstreams that its probes found silent, one that starts while the store is
// away borrows the knowledge of another, and one that leaves hands over the
// flows that it remembers. Losing a message costs a call to the store, or lets
// callers find out themselves that an upstream has ended.
package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/follow"
	"github.com/chivemast/chivemast/internal/forward"
)

const (
	// helloInterval is the time between greetings to a random mate; an instance
	// that knows none greets the seeds.
	helloInterval = 2 * time.Second
	// firstHello is the time between greetings to the seeds until a mate has
	// answered.
	firstHello = 300 * time.Millisecond
	// knowledgeTimeout bounds a request for another instance's knowledge.
	knowledgeTimeout = 500 * time.Millisecond
	// knowledgePath is the path of such requests, followed by the kind.
	knowledgePath = "/v1/knowledge/"
	// maxKnowledge bounds the answer in bytes: 3,700 upstreams take 1 MB.
	maxKnowledge = 8 << 20
	// readSlack makes a message above MaxDatagram visible as a syntax error.
	readSlack = 1
)

// Observer receives what the relay does. It is called from several goroutines.
type Observer interface {
	// Sent and Received count messages and their bytes.
	Sent(bytes int)
	Received(bytes int)
	// Rejected reports a message that cannot be used.
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
	// Silent receives the upstreams that mates found silent.
	Silent func(SilentUpstream)
	// Knowledge returns what this instance knows of a kind, and its age.
	Knowledge func(catalog.Kind) (update follow.Update, age time.Duration, known bool)
	// Flows takes flows over from a mate that leaves; false when it cannot.
	Flows    func([]forward.FlowState) bool
	Observer Observer
}

// Relay exchanges messages with the other instances. It implements
// follow.Mates.
type Relay struct {
	cfg    Config
	conn   *net.UDPConn
	client *http.Client

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
		client: &http.Client{Timeout: knowledgeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

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
		m, err := decodeMessage(buffer[:n])
		if err != nil {
			r.cfg.Observer.Rejected(source, err)
			continue
		}
		r.handle(time.Now(), m, source)
	}
}

func (r *Relay) handle(now time.Time, m *message, source netip.AddrPort) {
	r.hear(now, m)
	if m.Hello {
		r.send(m.From.Address, &message{From: r.cfg.Self, Members: r.listFor(m.From.FailureDomain)})
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
}

func (r *Relay) hear(now time.Time, m *message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.members.heard)
	_, known := r.members.heard[m.From.Name]
	r.members.hear(now, m.From, true)
	for _, member := range m.Members {
		r.members.hear(now, member, false)
	}
	if !known && len(r.members.heard) > before {
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
			r.send(mates[rand.IntN(len(mates))].Address, hello)
		} else {
			wait = firstHello
			for _, seed := range r.cfg.Seeds {
				if seed != r.cfg.Self.Address {
					r.send(seed, hello)
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
		if _, kept := r.members.heard[name]; !kept {
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
	if err == nil && len(data) > MaxDatagram {
		// A base that nobody has makes the receivers ask the store.
		m.Update = &wireUpdate{Kind: update.Kind, Base: update.Revision, Revision: update.Revision}
		data, err = json.Marshal(m)
	}
	if err != nil {
		r.cfg.Observer.Rejected(r.cfg.Self.Address, err)
		return
	}
	for _, mate := range r.Mates() {
		r.write(mate.Address, data)
	}
}

// ReportSilent tells the mates of at most MaxSilent upstreams that do not
// answer probes.
func (r *Relay) ReportSilent(upstreams []SilentUpstream) {
	m := &message{From: r.cfg.Self, Silent: upstreams}
	for _, mate := range r.Mates() {
		r.send(mate.Address, m)
	}
}

func (r *Relay) send(to netip.AddrPort, m *message) {
	data, err := json.Marshal(m)
	if err != nil {
		r.cfg.Observer.Rejected(to, err)
		return
	}
	r.write(to, data)
}

func (r *Relay) write(to netip.AddrPort, data []byte) {
	if _, err := r.conn.WriteToUDPAddrPort(data, to); err != nil {
		r.cfg.Observer.Rejected(to, err)
		return
	}
	r.cfg.Observer.Sent(len(data))
}

// knowledge is the answer to a request for an instance's knowledge.
type knowledge struct {
	Update *wireUpdate `json:"update"`
	AgeMS  int64       `json:"age_ms"`
}

// ErrNoMate says that no instance can be asked for its knowledge.
var ErrNoMate = errors.New("no instance with knowledge is known")

// Knowledge implements follow.Mates.
func (r *Relay) Knowledge(ctx context.Context, kind catalog.Kind) (follow.Update, time.Duration, error) {
	addresses := r.askable()
	err := ErrNoMate
	for _, address := range addresses {
		var k *knowledge
		if k, err = r.ask(ctx, address, kind); err != nil {
			continue
		}
		update, decodeErr := k.Update.decode()
		if decodeErr == nil {
			return update, time.Duration(k.AgeMS) * time.Millisecond, nil
		}
		err = decodeErr
	}
	return follow.Update{}, 0, fmt.Errorf("knowledge of %s: %w", kind, err)
}

// askable returns the addresses to ask: a few mates, then the seeds.
func (r *Relay) askable() []netip.AddrPort {
	var addresses []netip.AddrPort
	mates := r.Mates()
	rand.Shuffle(len(mates), func(i, j int) { mates[i], mates[j] = mates[j], mates[i] })
	for _, mate := range mates[:min(len(mates), 2)] {
		addresses = append(addresses, mate.Address)
	}
	for _, seed := range r.cfg.Seeds {
		if seed != r.cfg.Self.Address {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (r *Relay) ask(ctx context.Context, address netip.AddrPort, kind catalog.Kind) (*knowledge, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+knowledgePath+kind.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // Reading is over; an error here has no effect.
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance at %s: status %d", address, response.StatusCode)
	}
	k := &knowledge{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxKnowledge)).Decode(k); err != nil {
		return nil, err
	}
	if k.Update == nil {
		return nil, &MessageError{Err: errors.New("no update")}
	}
	return k, nil
}

// Handler serves this instance's knowledge to others and takes flows over.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(flowsPath, r.serveFlows)
	for _, kind := range catalog.Kinds() {
		mux.HandleFunc(knowledgePath+kind.String(), func(w http.ResponseWriter, _ *http.Request) {
			update, age, known := r.cfg.Knowledge(kind)
			if !known {
				http.Error(w, "not known yet", http.StatusServiceUnavailable)
				return
			}
			var body bytes.Buffer
			if err := json.NewEncoder(&body).Encode(knowledge{Update: encodeUpdate(update), AgeMS: age.Milliseconds()}); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body.Bytes()) // The asking instance sees a failed write itself.
		})
	}
	return mux
}
