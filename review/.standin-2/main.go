package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// exitNotRun is the exit code of a case that could not run.
const exitNotRun = 2

// cases holds what each case does after the traffic has started. It returns when the
// traffic is to end.
var cases = map[string]func(w *world) error{
	"second-answer": secondAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return exitNotRun
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return fail(err)
	}
	dir := os.Getenv("REVIEW_LOGS")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-2-"); err != nil {
			return fail(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	world, err := newWorld(ctx, filepath.Clean(dir), os.Getenv("TROUBLE") != "0", record)
	if err != nil {
		return fail(err)
	}
	defer world.stopAll()
	world.logf("case %s, disruption %t", name, world.trouble)
	if err := world.startAll(); err != nil {
		return fail(err)
	}
	if err := cases[name](world); err != nil {
		return fail(err)
	}
	return world.summary()
}

// startConsumers starts the consumers of the deployment: each has a user of hazard alerts,
// two of job updates and alerts.
func (w *world) startConsumers() error {
	n := 0
	for _, z := range deployment {
		for range z.consumers {
			n++
			c, err := w.startClient(z.name, n)
			if err != nil {
				return err
			}
			for user := range 3 {
				service, method, retries, limit := routeAlerts, "GET", 2, 2*time.Second
				if user == 2 {
					service, method, limit = routeUpdates, "POST", 2500*time.Millisecond
				}
				go c.user(service, method, retries, limit)
			}
		}
	}
	return nil
}

// secondAnswer: all machines are stopped and started in turn, three times, while datagrams are
// lost occasionally.
func secondAnswer(w *world) error {
	w.loss = 0.01
	if err := w.startConsumers(); err != nil {
		return err
	}
	for range 3 {
		w.sleep(8 * time.Second)
		end := time.Now().Add(24 * time.Second)
		if w.trouble {
			w.restartInTurn(w.machines, 2*time.Second)
		}
		w.sleep(time.Until(end))
	}
	return nil
}

// restartInTurn stops and starts machines one after the other.
func (w *world) restartInTurn(machines []*machine, gap time.Duration) {
	for _, m := range machines {
		go func() {
			m.stop()
			w.sleep(restartDelay)
			if err := m.start(); err != nil {
				w.logf("%s does not start: %v", m.name, err)
			}
		}()
		w.sleep(gap)
	}
}

func (w *world) sleep(span time.Duration) {
	select {
	case <-time.After(span):
	case <-w.ctx.Done():
	}
}
