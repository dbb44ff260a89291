package soak

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with the connections of an instance to the store.
type Mode int

// Modes of a proxy.
const (
	// ModePass forwards all bytes.
	ModePass Mode = iota
	// ModeSilence accepts connections and keeps them open, but forwards nothing.
	ModeSilence
	// ModeReset closes all connections, including new ones.
	ModeReset
	// ModeDelay forwards bytes after proxyDelay.
	ModeDelay
	// ModeOneWay forwards requests, but no responses.
	ModeOneWay
)

func (m Mode) String() string {
	return [...]string{"pass", "silence", "reset", "delay", "one_way"}[m]
}

// proxyDelay is how long ModeDelay holds back each read of bytes, as with a slow store.
const proxyDelay = 240 * time.Millisecond

// queueSize is the receive buffer of the connections to the store when the path is limited:
// the store waits to write what exceeds it.
const queueSize = 64 << 10

// proxy forwards the TCP connections of one instance to the store.
type proxy struct {
	listener net.Listener
	target   string
	// rate is the number of bytes a second that pass to the instance, over all connections
	// together; 0 for no limit. It is set before run.
	rate int

	mu sync.Mutex
	// freeAt is when all bytes that were read from the store have passed the limit.
	freeAt time.Time
	mode   Mode
	// modeChanged is closed and replaced at every change of mode.
	modeChanged chan struct{}
	// connections holds the open connections, to the instance and to the store.
	connections map[net.Conn]bool
}

// newProxy returns a proxy that listens at address and connects to target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &proxy{listener: listener, target: target, modeChanged: make(chan struct{}), connections: map[net.Conn]bool{}}, nil
}

func (p *proxy) setMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if mode == ModeReset {
		p.closeAll()
	}
}

// closeAll closes all connections. The caller holds p.mu.
func (p *proxy) closeAll() {
	for conn := range p.connections {
		_ = conn.Close() // An error has no effect: the connection is given up.
	}
}

// currentMode returns the mode, and a channel that is closed when it changes.
func (p *proxy) currentMode() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

// run accepts connections until ctx ends, then closes all of them. It fails if it
// cannot accept connections any more.
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
		go p.serveConnection(ctx, client)
	}
}

// serveConnection forwards a connection of the instance to the store until one of them
// is closed.
func (p *proxy) serveConnection(ctx context.Context, client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	if p.rate > 0 {
		_ = server.(*net.TCPConn).SetReadBuffer(queueSize) // Without it, more waits in the kernel.
	}
	p.mu.Lock()
	p.connections[client], p.connections[server] = true, true
	if p.mode == ModeReset {
		p.closeAll()
	}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyBytes(ctx, server, client, false) })
	copies.Go(func() { p.copyBytes(ctx, client, server, true) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, client)
	delete(p.connections, server)
}

// copyBytes forwards bytes as the mode says, and closes both connections when one is
// closed or ctx ends. responses is set for the direction to the instance.
func (p *proxy) copyBytes(ctx context.Context, to, from net.Conn, responses bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !p.waitToForward(ctx, responses) {
			return
		}
		if responses && p.rate > 0 {
			time.Sleep(p.passLimit(n, time.Now()))
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// passLimit returns the time until n bytes that are read at now have passed the limit.
func (p *proxy) passLimit(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(transferTime(n, p.rate))
	return p.freeAt.Sub(now)
}

// transferTime returns the time that n bytes take at a rate in bytes a second.
func transferTime(n, rate int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(rate)
}

// waitToForward waits until the mode allows bytes of a direction to be forwarded. It
// returns false if ctx ends first.
func (p *proxy) waitToForward(ctx context.Context, responses bool) bool {
	for {
		mode, modeChanged := p.currentMode()
		switch {
		case mode == ModeSilence, mode == ModeOneWay && responses:
		case mode == ModeDelay:
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
		case <-modeChanged:
		case <-ctx.Done():
			return false
		}
	}
}
