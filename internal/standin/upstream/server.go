package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/silence"
)

const (
	// maxDatagram is the size of the buffer for one datagram in bytes. Valid
	// datagrams have at most 1,400 B.
	maxDatagram = 4096
	// socketBuffer is the size of the kernel's receive buffer in bytes.
	socketBuffer = 4 << 20
	// maxTickInterval is the longest time between two calls of Machine.Tick. It
	// applies while no request is running.
	maxTickInterval = 50 * time.Millisecond
)

// Server connects a Machine to a UDP socket for packets and to an HTTP listener
// on the same port number for GET /health and /control.
type Server struct {
	mu       sync.Mutex
	machine  *Machine
	silencer silence.Injector

	conn     *net.UDPConn
	listener net.Listener
	// packetHandled receives a value after each packet, so that runTicks computes
	// the time of the next tick again.
	packetHandled chan struct{}
}

// Listen opens the UDP socket and the HTTP listener on the address. With port 0
// it tries up to 20 ports until one is free for both protocols. It returns
// socket errors wrapped.
func Listen(address netip.AddrPort, machine *Machine) (*Server, error) {
	const attempts = 20
	var err error
	for range attempts {
		var s *Server
		if s, err = listen(address, machine); err == nil {
			return s, nil
		}
		if address.Port() != 0 {
			break
		}
	}
	return nil, fmt.Errorf("upstream: %w", err)
}

func listen(address netip.AddrPort, machine *Machine) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listener.Addr().(*net.TCPAddr).AddrPort()))
	if err == nil {
		err = conn.SetReadBuffer(socketBuffer)
	}
	if err != nil {
		listener.Close()
		return nil, err
	}
	return &Server{machine: machine, conn: conn, listener: listener, packetHandled: make(chan struct{}, 1)}, nil
}

// Address returns the address of both sockets.
func (s *Server) Address() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Serve handles packets and HTTP requests until ctx ends, then closes both
// sockets and returns nil. It returns earlier with the first socket error.
func (s *Server) Serve(ctx context.Context) error {
	server := &http.Server{Handler: s.silencer.Wrap(s.handler()), ConnContext: s.silencer.ConnContext,
		ReadHeaderTimeout: 5 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("upstream: %w", err)
		}
		return nil
	})
	group.Go(s.receivePackets)
	group.Go(func() error { return s.runTicks(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		s.conn.Close()
		return server.Close()
	})
	return group.Wait()
}

func (s *Server) receivePackets() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("upstream: %w", err)
		}
		p := new(pb.Packet)
		if err := proto.Unmarshal(buffer[:n], p); err != nil {
			s.WithMachine(func(m *Machine, _ time.Time) { m.stats.Malformed++ })
			continue
		}
		var replies []Reply
		s.WithMachine(func(m *Machine, now time.Time) { replies = m.HandlePacket(now, p) })
		s.send(replies)
		select {
		case s.packetHandled <- struct{}{}:
		default:
		}
	}
}

func (s *Server) runTicks(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.packetHandled:
		}
		var replies []Reply
		wait := maxTickInterval
		s.WithMachine(func(m *Machine, now time.Time) {
			replies = m.Tick(now)
			if next, ok := m.Next(); ok {
				wait = min(wait, max(0, next.Sub(now)))
			}
		})
		s.send(replies)
		timer.Reset(wait)
	}
}

// send ignores errors of single datagrams, because UDP does not guarantee
// delivery.
func (s *Server) send(replies []Reply) {
	for _, r := range replies {
		to, err := netip.ParseAddrPort(r.To)
		if err != nil {
			continue
		}
		if b, err := proto.Marshal(r.Packet); err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(b, to)
		}
	}
}

// WithMachine calls f with the machine and the current time while it holds the
// lock of the server. f must not call methods of the server that take the lock.
func (s *Server) WithMachine(f func(m *Machine, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.machine, time.Now())
}

// Control is the request body of POST /control. Absent fields change nothing.
// ShedMS is in milliseconds.
type Control struct {
	Drain      *bool `json:"drain,omitempty"`
	Restart    bool  `json:"restart,omitempty"`
	Cold       bool  `json:"cold,omitempty"`
	ShedMS     *int  `json:"shed_ms,omitempty"`
	Silent     *bool `json:"silent,omitempty"`
	HealthDown *bool `json:"health_down,omitempty"`
	// Mislead replaces the health report until a request sets ClearMislead.
	Mislead      *Health `json:"mislead,omitempty"`
	ClearMislead bool    `json:"clear_mislead,omitempty"`
	// SilenceConnections makes the HTTP connections that are open now silent for
	// good.
	SilenceConnections bool `json:"silence_connections,omitempty"`
}

// Apply executes a control request at now, except for SilenceConnections, which
// Server executes.
func (m *Machine) Apply(now time.Time, c *Control) {
	if c.Restart {
		m.Restart(now)
	}
	if c.Cold {
		m.StartColdStart(now)
	}
	if c.Drain != nil {
		m.SetDraining(now, *c.Drain)
	}
	if c.ShedMS != nil {
		m.ShedNewWork(now, time.Duration(*c.ShedMS)*time.Millisecond)
	}
	if c.Silent != nil {
		m.SetSilent(*c.Silent)
	}
	if c.HealthDown != nil {
		m.SetHealthDown(*c.HealthDown)
	}
	if c.Mislead != nil || c.ClearMislead {
		m.SetMisleadingHealth(c.Mislead)
	}
}

// SilenceConnections makes every HTTP connection that is open now silent for
// good. Connections opened later work.
func (s *Server) SilenceConnections() { s.silencer.Silence() }

// handler serves GET /health, which responds with Health, and /control, which
// executes a Control if the method is POST and responds with Stats.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		var h Health
		var ok bool
		s.WithMachine(func(m *Machine, now time.Time) { h, ok = m.Health(now) })
		if !ok {
			http.Error(w, "health endpoint disabled: health_down or silent is set", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, h)
	})
	mux.HandleFunc("/control", func(w http.ResponseWriter, r *http.Request) {
		var c Control
		if r.Method == http.MethodPost {
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&c); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		var stats Stats
		s.WithMachine(func(m *Machine, now time.Time) {
			m.Apply(now, &c)
			stats = m.Stats()
		})
		if c.SilenceConnections {
			s.SilenceConnections()
		}
		writeJSON(w, stats)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
