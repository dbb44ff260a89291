// Package daemon runs one instance. It owns the sockets, the platform client and the
// control goroutine in which the decision core runs.
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
	// peerQueueSize is the number of received peer messages that may wait for the
	// control goroutine. Further ones are dropped.
	peerQueueSize = 4096
	// probeQueueSize is the number of probes that may wait to be sent, and of probe
	// results that may wait for the control goroutine.
	probeQueueSize = 1024
	// trafficWorkers is the number of goroutines per traffic socket. It is low because
	// the instances are small.
	trafficWorkers = 2
	// forwardAfterHandover is how long a leaving instance keeps forwarding packets after
	// its handover is complete. It covers a few heartbeats, so that the other instances
	// have taken over.
	forwardAfterHandover = 3 * time.Second
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

	// Queues of the control goroutine.
	inboundPackets chan traffic.Inbound
	peerMessages   chan *pb.PeerMessage
	probeResults   chan action.ProbeResult
	statusRequests chan chan *pb.StatusResponse
	state          controlState
}

// New opens the sockets of an instance and creates its platform client and its node. It
// fails with *listen.Error, *telemetry.SetupError or a wrapped error of the platform
// client.
func New(s *settings.Settings, log *logrus.Entry) (*Daemon, error) {
	metrics, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{
		settings: s, log: log, metrics: metrics,
		inboundPackets: make(chan traffic.Inbound, s.Limits.ControlQueue),
		peerMessages:   make(chan *pb.PeerMessage, peerQueueSize),
		probeResults:   make(chan action.ProbeResult, probeQueueSize),
		statusRequests: make(chan chan *pb.StatusResponse),
	}
	if err := daemon.openSockets(); err != nil {
		return nil, err
	}
	// The membership requires an incarnation that grows with every start.
	incarnation := uint64(time.Now().UnixNano())
	rng := rand.New(rand.NewPCG(incarnation, uint64(len(s.Instance))))
	daemon.node = node.New(daemon.nodeConfig(incarnation), rng)
	return daemon, nil
}

func (daemon *Daemon) openSockets() error {
	s := daemon.settings
	observer := observer{daemon: daemon}
	var err error
	if daemon.traffic, err = traffic.Listen(traffic.Config{
		CallerAddress: s.TrafficAddress, UpstreamAddress: netip.AddrPortFrom(s.TrafficAddress.Addr(), 0), Workers: trafficWorkers,
	}, daemon.inboundPackets, observer); err != nil {
		return err
	}
	if daemon.peers, err = peer.Listen(s.PeerAddress, daemon.peerMessages, observer); err != nil {
		return err
	}
	if daemon.admin, err = net.Listen("tcp", s.AdminAddress.String()); err != nil {
		return &listen.Error{Network: "tcp", Address: s.AdminAddress, Err: err}
	}
	if daemon.platform, err = platform.New(platform.FromSettings(s, daemon.metrics.Meter())); err != nil {
		return fmt.Errorf("platform client: %w", err)
	}
	daemon.probes = newProber(daemon.probeResults)
	return nil
}

func (daemon *Daemon) nodeConfig(incarnation uint64) node.Config {
	s, l := daemon.settings, daemon.settings.Limits
	cfg := node.Config{
		Self: membership.Member{
			Name: s.Instance, FailureDomain: s.FailureDomain, Address: s.PeerAddress, Incarnation: incarnation,
		},
		ReplyTo:       daemon.traffic.ReplyTo(),
		WriterStagger: l.WriterStaggerMS.Duration(),
		Observer:      observer{daemon: daemon},
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
	cfg.Placement.MaxTrackedFlows = l.MaxExceptions
	cfg.Health.ProbeInterval, cfg.Health.ProbeTimeout = l.ProbeIntervalMS.Duration(), l.ProbeTimeoutMS.Duration()
	cfg.Request.ClockSkewLimit = l.ClockSkewLimitMS.Duration()
	cfg.Request.RetryRatio = float64(l.RetryBudgetPercent) / 100
	cfg.Request.HedgeShare = float64(l.HedgeBudgetPercent) / 100
	cfg.Request.HedgeMinDelay = l.HedgeMinDelayMS.Duration()
	cfg.Request.MaxRecords = l.MaxRequests
	cfg.Request.Observer = telemetry.RequestObserver{Metrics: daemon.metrics}
	return cfg
}

// Run runs the instance. The end of ctx starts a graceful shutdown, and Run returns
// when that is over; the end of abort stops it at once. Run also returns the first
// error of a server or of the platform client.
func (daemon *Daemon) Run(ctx, abort context.Context) error {
	stop, cancel := context.WithCancel(abort)
	defer cancel()
	group, stop := errgroup.WithContext(stop)
	group.Go(func() error { return daemon.traffic.Run(stop) })
	group.Go(func() error { return daemon.peers.Run(stop) })
	group.Go(func() error { return daemon.serveAdmin(stop) })
	group.Go(func() error {
		if err := daemon.platform.Run(stop); stop.Err() == nil {
			return err
		}
		return nil
	})
	group.Go(func() error { daemon.probes.run(stop); return nil })
	group.Go(func() error {
		defer cancel()
		return daemon.runControlLoop(ctx, stop)
	})
	err := group.Wait()
	return errors.Join(err, daemon.metrics.Shutdown(context.WithoutCancel(abort)))
}
