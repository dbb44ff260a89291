// Package daemon runs one instance: it owns the sockets, the platform client
// and the control goroutine in which the decision core runs.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/peer"
	"github.com/chivemast/chivemast/internal/platform"
	"github.com/chivemast/chivemast/internal/settings"
	"github.com/chivemast/chivemast/internal/telemetry"
	"github.com/chivemast/chivemast/internal/traffic"
)

const (
	// peerQueue is the number of peer messages that may wait.
	peerQueue = 4096
	// probeQueue is the number of probe results that may wait.
	probeQueue = 1024
	// trafficWorkers is the number of goroutines per traffic socket; the
	// instances are small.
	trafficWorkers = 2
	// lingerAfterHandover is how long a leaving instance still forwards
	// packets: a few heartbeats, so that the others have taken over.
	lingerAfterHandover = 3 * time.Second
)

// Daemon is one running instance.
type Daemon struct {
	settings *settings.Settings
	log      *logrus.Entry
	metrics  *telemetry.Metrics

	node     *node.Node
	traffic  *traffic.Server
	peers    *peer.Transport
	platform *platform.Client
	probes   *prober
	admin    net.Listener

	packets  chan traffic.Inbound
	messages chan *pb.PeerMessage
	results  chan action.ProbeResult
	status   chan chan *pb.StatusResponse
	ready    readiness
}

// New opens the sockets of an instance. It fails with *listen.Error or *telemetry.SetupError.
func New(s *settings.Settings, log *logrus.Entry) (*Daemon, error) {
	metrics, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, log: log, metrics: metrics,
		packets:  make(chan traffic.Inbound, s.Limits.ControlQueue),
		messages: make(chan *pb.PeerMessage, peerQueue),
		results:  make(chan action.ProbeResult, probeQueue),
		status:   make(chan chan *pb.StatusResponse),
	}
	if err := d.open(); err != nil {
		return nil, err
	}
	// The incarnation grows with every start, as the membership requires.
	incarnation := uint64(time.Now().UnixNano())
	rng := rand.New(rand.NewPCG(incarnation, uint64(len(s.Instance))))
	d.node = node.New(d.nodeConfig(incarnation), rng)
	return d, nil
}

func (d *Daemon) open() error {
	s := d.settings
	observer := observer{daemon: d}
	var err error
	if d.traffic, err = traffic.Listen(traffic.Config{
		CallerAddress: s.TrafficAddress, UpstreamAddress: netip.AddrPortFrom(s.TrafficAddress.Addr(), 0), Workers: trafficWorkers,
	}, d.packets, observer); err != nil {
		return err
	}
	if d.peers, err = peer.Listen(s.PeerAddress, d.messages, observer); err != nil {
		return err
	}
	if d.admin, err = net.Listen("tcp", s.AdminAddress.String()); err != nil {
		return &listen.Error{Network: "tcp", Address: s.AdminAddress, Err: err}
	}
	if d.platform, err = platform.New(platform.FromSettings(s, d.metrics.Meter())); err != nil {
		return fmt.Errorf("platform client: %w", err)
	}
	d.probes = newProber(d.results)
	return nil
}

func (d *Daemon) nodeConfig(incarnation uint64) node.Config {
	s, l := d.settings, d.settings.Limits
	cfg := node.Config{
		Self: membership.Member{
			Name: s.Instance, FailureDomain: s.FailureDomain, Address: s.PeerAddress, Incarnation: incarnation,
		},
		ReplyTo:       d.traffic.ReplyTo(),
		WriterStagger: l.WriterStaggerMS.Duration(),
		Observer:      observer{daemon: d},
	}
	for _, p := range s.OtherPeers() {
		cfg.Membership.Peers = append(cfg.Membership.Peers, membership.Member{
			Name: p.Name, FailureDomain: p.FailureDomain, Address: p.PeerAddress,
		})
		cfg.Sync.Peers = append(cfg.Sync.Peers, p.Name)
	}
	cfg.Membership.HeartbeatInterval = l.HeartbeatIntervalMS.Duration()
	cfg.Membership.SuspectAfter = l.SuspectTimeoutMS.Duration()
	cfg.Membership.FullMesh, cfg.Membership.Fanout = l.HeartbeatPeers+1, l.HeartbeatPeers
	cfg.Domain.FreshnessLimit = l.FreshnessLimitMS.Duration()
	cfg.Membership.LeaseDuration, cfg.Membership.LeaseMargin = l.LeaseDurationMS.Duration(), l.LeaseMarginMS.Duration()
	cfg.Lease.LeaseDuration, cfg.Lease.LeaseMargin = l.LeaseDurationMS.Duration(), l.LeaseMarginMS.Duration()
	cfg.Lease.WriterStagger = l.WriterStaggerMS.Duration()
	cfg.Sync.InstancesInterval = l.InstanceListIntervalMS.Duration()
	cfg.Placement.MaxFlowRecords = l.MaxExceptions
	cfg.Health.ProbeInterval, cfg.Health.ProbeTimeout = l.ProbeIntervalMS.Duration(), l.ProbeTimeoutMS.Duration()
	cfg.Request.ClockSkewLimit = l.ClockSkewLimitMS.Duration()
	cfg.Request.RetryRatio = float64(l.RetryBudgetPercent) / 100
	cfg.Request.MaxRecords = l.MaxRequests
	cfg.Request.Observer = telemetry.RequestObserver{Metrics: d.metrics}
	return cfg
}

// Run serves until ctx ends and the graceful shutdown is over, or until abort
// ends, which stops at once.
func (d *Daemon) Run(ctx, abort context.Context) error {
	stop, cancel := context.WithCancel(abort)
	defer cancel()
	group, stop := errgroup.WithContext(stop)
	group.Go(func() error { return d.traffic.Run(stop) })
	group.Go(func() error { return d.peers.Run(stop) })
	group.Go(func() error { return d.serveAdmin(stop) })
	group.Go(func() error {
		if err := d.platform.Run(stop); stop.Err() == nil {
			return err
		}
		return nil
	})
	group.Go(func() error { d.probes.run(stop); return nil })
	group.Go(func() error {
		defer cancel()
		return d.control(ctx, stop)
	})
	err := group.Wait()
	return errors.Join(err, d.metrics.Shutdown(context.WithoutCancel(abort)))
}
