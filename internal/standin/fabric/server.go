package fabric

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

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// maxDatagram is the size of the receive buffer in bytes, above the 1,400 B
// that a valid datagram has.
const maxDatagram = 4096

// maxDelayed bounds the number of packets that are held back. More are sent at
// once.
const maxDelayed = 100_000

// socketBuffer is the size of the receive buffer of the socket in bytes. The
// default of 208 KiB lost packets at bursts of a few thousand.
const socketBuffer = 4 << 20

// Server sprays the datagrams that it receives.
type Server struct {
	conn    *net.UDPConn
	sprayer *Sprayer

	mu      sync.Mutex
	delayed int
}

// Listen opens the UDP socket.
func Listen(address netip.AddrPort, sprayer *Sprayer) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("fabric: %w", err)
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		conn.Close()
		return nil, fmt.Errorf("fabric: %w", err)
	}
	return &Server{conn: conn, sprayer: sprayer}, nil
}

// Address returns the address of the socket.
func (s *Server) Address() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Serve forwards datagrams until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("fabric: %w", err)
		}
		s.forward(buffer[:n], from)
	}
}

func (s *Server) forward(datagram []byte, from netip.AddrPort) {
	var p pb.Packet
	if err := proto.Unmarshal(datagram, &p); err != nil {
		s.sprayer.countMalformed()
		return
	}
	caller := p.Caller
	if caller == "" {
		caller = from.String()
	}
	for _, d := range s.sprayer.Route(caller) {
		if d.Delay == 0 || !s.hold() {
			s.send(datagram, d.Instance)
			continue
		}
		held := append([]byte(nil), datagram...)
		time.AfterFunc(d.Delay, func() {
			s.release()
			s.send(held, d.Instance)
		})
	}
}

func (s *Server) hold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayed >= maxDelayed {
		return false
	}
	s.delayed++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed--
}

// send ignores errors: a fabric loses packets to instances that are gone.
func (s *Server) send(datagram []byte, to Instance) {
	_, _ = s.conn.WriteToUDPAddrPort(datagram, to.Address)
}

func (s *Sprayer) countMalformed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Malformed++
}

// Control is the body of a POST to /control. Absent fields change nothing.
type Control struct {
	Rates   *Rates   `json:"rates,omitempty"`
	Block   []Pair   `json:"block,omitempty"`
	Unblock []Pair   `json:"unblock,omitempty"`
	Disable []string `json:"disable,omitempty"`
	Enable  []string `json:"enable,omitempty"`
	// Instances replaces the destinations: name to traffic address.
	Instances map[string]netip.AddrPort `json:"instances,omitempty"`
}

// Apply carries out a control request. It fails with *RateError.
func (s *Sprayer) Apply(c *Control) error {
	if c.Rates != nil {
		if err := s.SetRates(*c.Rates); err != nil {
			return err
		}
	}
	for _, p := range c.Block {
		s.Block(p, true)
	}
	for _, p := range c.Unblock {
		s.Block(p, false)
	}
	for _, name := range c.Disable {
		s.Disable(name, true)
	}
	for _, name := range c.Enable {
		s.Disable(name, false)
	}
	if c.Instances != nil {
		s.SetInstances(FromMap(c.Instances))
	}
	return nil
}

// ControlHandler serves /control: POST takes a Control, and both methods
// answer with Stats.
func (s *Sprayer) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/control", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var c Control
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
			decoder.DisallowUnknownFields()
			err := decoder.Decode(&c)
			if err == nil {
				err = s.Apply(&c)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Stats())
	})
	return mux
}
