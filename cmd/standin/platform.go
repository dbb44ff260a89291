package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the object API and /control",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "listen", Value: []string{"default=127.0.0.1:7000"},
				Usage: "`NAME=IP:PORT` to listen on; repeat it for listeners that can be cut off alone"},
			&cli.StringSliceFlag{Name: "instance", Usage: "`NAME,DOMAIN,PEER,ADMIN[,leaving]` on the instance list"},
			&cli.DurationFlag{Name: "instance-lag", Usage: "age of the instance list"},
			&cli.StringFlag{Name: "initial", Usage: "`FILE` with a /control request in JSON to apply at the start"},
			&cli.FloatFlag{Name: "writes-per-second", Value: 500, Usage: "limit on writes; 0 for none"},
			&cli.FloatFlag{Name: "reads-per-second", Value: 2000, Usage: "limit on all other calls; 0 for none"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	store := platform.NewStore(platform.Options{
		InstanceLag:     cmd.Duration("instance-lag"),
		WritesPerSecond: cmd.Float("writes-per-second"),
		ReadsPerSecond:  cmd.Float("reads-per-second"),
	})
	var instances []*pb.InstanceInfo
	for _, value := range cmd.StringSlice("instance") {
		instance, err := parseInstance(value)
		if err != nil {
			return err
		}
		instances = append(instances, instance)
	}
	store.SetInstances(instances)
	server := platform.NewServer(store)
	if path := cmd.String("initial"); path != "" {
		if err := applyInitial(server, path); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, value := range cmd.StringSlice("listen") {
		name, address, err := parseNamed("listen", value)
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			return fmt.Errorf("listen at an address of --listen: %w", err)
		}
		logrus.WithFields(logrus.Fields{"listener": name, "address": listener.Addr()}).Info("platform is listening")
		serveHTTP(ctx, group, listener, server.HTTPServer(name))
	}
	return group.Wait()
}

// serveHTTP serves HTTP in goroutines of the group until the context ends.
func serveHTTP(ctx context.Context, group *errgroup.Group, listener net.Listener, server *http.Server) {
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve HTTP: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

// parseInstance parses NAME,DOMAIN,PEER,ADMIN[,leaving]. Errors are *flagError.
func parseInstance(value string) (*pb.InstanceInfo, error) {
	fields := strings.Split(value, ",")
	leaving := len(fields) == 5 && fields[4] == "leaving"
	if len(fields) != 4 && !leaving {
		return nil, &flagError{"instance", value, "is not NAME,DOMAIN,PEER,ADMIN[,leaving]"}
	}
	return &pb.InstanceInfo{Name: fields[0], FailureDomain: fields[1], PeerAddress: fields[2], AdminAddress: fields[3], Leaving: leaving}, nil
}

// applyInitial applies the /control request in a JSON file to the server.
func applyInitial(server *platform.Server, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the file of --initial: %w", err)
	}
	var control platform.Control
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		return fmt.Errorf("file %s of --initial is not a valid /control request: %w", path, err)
	}
	return server.Apply(&control)
}
