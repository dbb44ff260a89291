package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/standin/fabric"
)

func fabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "spray the datagrams of callers over the instances",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "UDP `IP:PORT` for callers"},
			&cli.StringFlag{Name: "control", Usage: "HTTP `IP:PORT` for /control"},
			&cli.StringSliceFlag{Name: "instance", Usage: "`NAME=IP:PORT` of an instance's traffic address", Required: true},
			&cli.FloatFlag{Name: "drop", Usage: "share of packets lost"},
			&cli.FloatFlag{Name: "duplicate", Usage: "share of packets sent twice"},
			&cli.FloatFlag{Name: "reorder", Usage: "share of packets held back"},
			&cli.DurationFlag{Name: "reorder-delay", Usage: "longest time that a packet is held back (default 20ms)"},
			&cli.DurationFlag{Name: "latency", Usage: "time added to every packet"},
			&cli.StringSliceFlag{Name: "block", Usage: "`CALLER/INSTANCE` to block; each may be *"},
			seedFlag(),
		},
		Action: runFabric,
	}
}

func runFabric(ctx context.Context, cmd *cli.Command) error {
	instances := map[string]netip.AddrPort{}
	for _, value := range cmd.StringSlice("instance") {
		name, address, err := parseNamed("instance", value)
		if err != nil {
			return err
		}
		instances[name] = address
	}
	sprayer, err := fabric.NewSprayer(fabric.InstancesFromMap(instances), fabric.Rates{
		Drop: cmd.Float("drop"), Duplicate: cmd.Float("duplicate"), Reorder: cmd.Float("reorder"),
		ReorderDelay: cmd.Duration("reorder-delay"), Latency: cmd.Duration("latency"),
	}, rand.New(rand.NewPCG(cmd.Uint64("seed"), 0)))
	if err != nil {
		return err
	}
	for _, value := range cmd.StringSlice("block") {
		caller, instance, ok := strings.Cut(value, "/")
		if !ok {
			return &flagError{"block", value, "is not CALLER/INSTANCE"}
		}
		sprayer.Block(fabric.Pair{Caller: caller, Instance: instance}, true)
	}
	address, err := parseAddress("listen", cmd.String("listen"))
	if err != nil {
		return err
	}
	server, err := fabric.Listen(address, sprayer)
	if err != nil {
		return err
	}
	logrus.WithField("address", server.Address()).Info("fabric is listening")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(ctx) })
	if control := cmd.String("control"); control != "" {
		listener, err := net.Listen("tcp", control)
		if err != nil {
			return fmt.Errorf("listen at the address of --control: %w", err)
		}
		serveHTTP(ctx, group, listener,
			&http.Server{Handler: sprayer.ControlHandler(), ReadHeaderTimeout: 5 * time.Second})
	}
	return group.Wait()
}
