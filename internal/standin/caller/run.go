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
	// maxDatagram is the size of the receive buffer in bytes, above the
	// 1,400 B that a valid datagram has.
	maxDatagram = 4096
	// socketBuffer is the size of the socket's receive buffer in bytes.
	socketBuffer = 4 << 20
	// tickInterval is the time between two ticks.
	tickInterval = 5 * time.Millisecond
)

// Run generates load from a socket of its own on the given address, port 0
// for a free one, through the fabric. It returns when the load is over and
// outstanding answers have arrived or timed out, or when the context ends.
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
	group.Go(r.receive)
	group.Go(func() error {
		defer conn.Close()
		return r.tick(ctx)
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

func (r *runner) receive() error {
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

func (r *runner) tick(ctx context.Context) error {
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

// send ignores errors of single datagrams; a missing answer shows them.
func (r *runner) send(packets []*pb.Packet) {
	for _, p := range packets {
		if b, err := proto.Marshal(p); err == nil {
			_, _ = r.conn.WriteToUDPAddrPort(b, r.fabric)
		}
	}
}
