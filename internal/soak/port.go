package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// acceptBacklog is the accept queue of an open port.
	acceptBacklog = 128
	// maxFillers is the largest number of connections with which a queue is filled.
	maxFillers = 8
)

// port is the TCP port of an upstream. It may be blocked: its accept queue is full and
// connection attempts have no answer, as on an upstream at its connection limit.
type port struct {
	*net.TCPListener
	// gate has an element while the port is blocked.
	gate      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// resetting is the number of faults that make the port reset new connections.
	resetting atomic.Int32
}

// listenPort listens at an address. It fails if the address is in use.
func listenPort(address string) (*port, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &port{TCPListener: listener.(*net.TCPListener), gate: make(chan struct{}, 1), closed: make(chan struct{})}, nil
}

// Accept accepts a connection, and returns it when the port is not blocked. It resets
// connections while resetting is set.
func (p *port) Accept() (net.Conn, error) {
	conn, err := p.AcceptTCP()
	for err == nil && p.resetting.Load() > 0 {
		_, _ = conn.SetLinger(0), conn.Close() // The client may have closed it.
		conn, err = p.AcceptTCP()
	}
	if err != nil {
		return nil, err
	}
	select {
	case p.gate <- struct{}{}:
		<-p.gate
		return conn, nil
	case <-p.closed:
		_ = conn.Close() // The connection is not used.
		return nil, net.ErrClosed
	}
}

// Close closes the port. It does not wait until the port is not blocked.
func (p *port) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return p.TCPListener.Close()
}

// block blocks the port until unblock is called. A port that was closed stays closed.
func (p *port) block() (unblock func()) {
	p.gate <- struct{}{}
	p.setBacklog(0)
	var fillers []net.Conn
	for len(fillers) < maxFillers {
		conn, err := net.DialTimeout("tcp4", p.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, conn)
	}
	return func() {
		for _, conn := range fillers {
			_ = conn.Close() // The upstream has read nothing.
		}
		p.setBacklog(acceptBacklog)
		<-p.gate
	}
}

// setBacklog sets the number of connections that wait to be accepted. It has no effect on
// a closed port.
func (p *port) setBacklog(size int) {
	if raw, err := p.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), size) })
	}
}
