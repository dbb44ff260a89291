package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

const (
	// maxDatagram is the size of the buffer for one datagram in bytes. Valid
	// datagrams have at most 1,400 B.
	maxDatagram = 4096
	// socketBuffer is the size of the kernel's receive buffer in bytes.
	socketBuffer = 4 << 20
	// tickInterval is the time between two calls of Machine.Tick.
	tickInterval = 5 * time.Millisecond
)

// Run opens a UDP socket on the address listen (port 0 for a free port) and
// sends the load of cfg from it to the address of the fabric. It returns when
// the load has ended and outstanding answers have arrived or timed out, or when
// ctx ends. It returns a *ConfigError if cfg is invalid, and socket errors
// wrapped.
func Run(ctx context.Context, cfg Config, listen, fabric netip.AddrPort, rng *rand.Rand) (Stats, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return Stats{}, fmt.Errorf("caller: %w", err)
	}
	defer conn.Close()
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		return Stats{}, fmt.Errorf("caller: %w", err)
	}
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	cfg.Address = netip.AddrPortFrom(local.Addr().Unmap(), local.Port()).String()
	m, err := New(cfg, rng, time.Now())
	if err != nil {
		return Stats{}, err
	}
	r := &runner{conn: conn, fabric: fabric, machine: m}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(r.receivePackets)
	group.Go(func() error {
		defer conn.Close()
		return r.runTicks(ctx)
	})
	err = group.Wait()
	return m.Stats(), err
}

type runner struct {
	conn   *net.UDPConn
	fabric netip.AddrPort

	mu      sync.Mutex
	machine *Machine
}

func (r *runner) receivePackets() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("caller: %w", err)
		}
		p := new(pb.Packet)
		if err := proto.Unmarshal(buffer[:n], p); err != nil {
			continue
		}
		r.mu.Lock()
		out := r.machine.HandlePacket(time.Now(), p)
		r.mu.Unlock()
		r.send(out)
	}
}

func (r *runner) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		r.mu.Lock()
		out := r.machine.Tick(now)
		done := r.machine.Done(now)
		r.mu.Unlock()
		r.send(out)
		if done {
			return nil
		}
	}
}

// send ignores errors of single datagrams, because the caller treats a lost
// datagram like any missing answer.
func (r *runner) send(packets []*pb.Packet) {
	for _, p := range packets {
		if b, err := proto.Marshal(p); err == nil {
			_, _ = r.conn.WriteToUDPAddrPort(b, r.fabric)
		}
	}
}
