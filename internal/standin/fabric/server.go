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

// maxDatagram is the size of the buffer for one datagram in bytes. Valid
// datagrams have at most 1,400 B.
const maxDatagram = 4096

// maxDelayed is the maximum number of delayed packets in memory. Above it,
// packets are sent without delay.
const maxDelayed = 100_000

// socketBuffer is the size of the kernel's receive buffer in bytes. The default
// size of 208 KiB overflows at bursts of a few thousand packets.
const socketBuffer = 4 << 20

// Server forwards the datagrams that it receives to the instances that its
// Sprayer selects.
type Server struct {
	conn    *net.UDPConn
	sprayer *Sprayer

	mu sync.Mutex
	// delayedPackets is the number of packets that wait for their delay to pass.
	delayedPackets int
}

// Listen opens the UDP socket on the address; port 0 selects a free port. It
// returns socket errors wrapped.
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

// Serve forwards datagrams until ctx ends, and then returns nil. It returns
// earlier with an error if the socket fails.
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
		s.forwardDatagram(buffer[:n], from)
	}
}

func (s *Server) forwardDatagram(datagram []byte, from netip.AddrPort) {
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
		if d.Delay == 0 || !s.reserveDelayed() {
			s.sendDatagram(datagram, d.Instance)
			continue
		}
		delayedCopy := append([]byte(nil), datagram...)
		time.AfterFunc(d.Delay, func() {
			s.releaseDelayed()
			s.sendDatagram(delayedCopy, d.Instance)
		})
	}
}

func (s *Server) reserveDelayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedPackets >= maxDelayed {
		return false
	}
	s.delayedPackets++
	return true
}

func (s *Server) releaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedPackets--
}

// sendDatagram ignores errors, because a network also loses packets to instances
// that are gone without notice to the sender.
func (s *Server) sendDatagram(datagram []byte, to Instance) {
	_, _ = s.conn.WriteToUDPAddrPort(datagram, to.Address)
}

func (s *Sprayer) countMalformed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Malformed++
}

// Control is the request body of POST /control. Absent fields change nothing.
// Disable and Enable contain instance names.
type Control struct {
	Rates   *Rates   `json:"rates,omitempty"`
	Block   []Pair   `json:"block,omitempty"`
	Unblock []Pair   `json:"unblock,omitempty"`
	Disable []string `json:"disable,omitempty"`
	Enable  []string `json:"enable,omitempty"`
	// Instances replaces the destinations. It maps names to traffic addresses.
	Instances map[string]netip.AddrPort `json:"instances,omitempty"`
}

// Apply executes a control request. It returns a *RateError, and changes nothing,
// if a rate is outside the range 0 to 1.
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
		s.SetInstances(InstancesFromMap(c.Instances))
	}
	return nil
}

// ControlHandler serves /control. POST executes a Control; every method responds
// with Stats.
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
