package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

var errNotPlayed = errors.New("the case was interrupted, or no request was served")

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
	if ctx.Err() != nil || world.served.Load() == 0 {
		return fail(errNotPlayed)
	}
	return world.summary()
}

// startConsumers starts the consumers of the deployment: each has two users of hazard alerts
// and one of job updates.
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

// secondAnswer: all machines are stopped and started one after the other, three times in random
// order, while datagrams are lost occasionally.
func secondAnswer(w *world) error {
	w.loss = 0.01
	if err := w.startConsumers(); err != nil {
		return err
	}
	w.sleep(8 * time.Second)
	for range 3 {
		for _, n := range rand.Perm(len(w.machines)) {
			if w.trouble {
				go w.restart(w.machines[n])
			}
			w.sleep(3 * time.Second)
		}
	}
	w.sleep(5 * time.Second)
	return nil
}

// restart stops a machine and starts it again.
func (w *world) restart(m *machine) {
	m.restarting.Lock()
	defer m.restarting.Unlock()
	m.stop()
	w.sleep(restartDelay)
	if err := m.start(); err != nil {
		w.logf("%s does not start: %v", m.name, err)
	}
}

func (w *world) sleep(span time.Duration) {
	select {
	case <-time.After(span):
	case <-w.ctx.Done():
	}
}
