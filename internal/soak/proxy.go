package soak

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to connections.
type Mode int

// Modes.
const (
	Pass Mode = iota
	// Silence holds all bytes of open and new connections.
	Silence
	// Reset closes all connections.
	Reset
	// Delay holds bytes for a while.
	Delay
	// OneWay passes requests and holds the answers.
	OneWay
)

func (m Mode) String() string {
	return [...]string{"pass", "silence", "reset", "delay", "one_way"}[m]
}

// proxyDelay is the time by which Delay holds bytes: a slow store.
const proxyDelay = 240 * time.Millisecond

// proxy stands between an instance and the store.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	open    map[net.Conn]bool
}

func listenProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]bool{}}, nil
}

func (p *proxy) set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == Reset {
		p.closeAll()
	}
}

func (p *proxy) closeAll() {
	for conn := range p.open {
		_ = conn.Close() // The other end sees it; nothing is lost but the connection.
	}
}

func (p *proxy) state() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// run accepts connections until ctx ends, then closes all.
func (p *proxy) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeAll()
	})
	defer stop()
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go p.serve(ctx, client)
	}
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	if p.mode == Reset {
		p.closeAll()
	}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(ctx, server, client, false) })
	copies.Go(func() { p.copy(ctx, client, server, true) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, client)
	delete(p.open, server)
}

// copy passes bytes as the mode says and closes both ends afterwards.
func (p *proxy) copy(ctx context.Context, to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !p.hold(ctx, answers) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// hold waits while the mode holds bytes; false when ctx has ended.
func (p *proxy) hold(ctx context.Context, answers bool) bool {
	for {
		mode, changed := p.state()
		switch {
		case mode == Silence, mode == OneWay && answers:
		case mode == Delay:
			select {
			case <-time.After(proxyDelay):
				return true
			case <-ctx.Done():
				return false
			}
		default:
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
