package main

import (
	"slices"
	"time"
)

func init() {
	large := func() site { s := tmnc; s.pageSize = pageSize; return s }
	scenarios["pages-new"] = scenario{rule: "FLOW", play: playPagesNew, site: large}
	scenarios["pages-drain"] = scenario{rule: "DRAIN", play: playPagesDrain, site: large}
}

const (
	// pageSize is the size of a page of the site file's host list.
	pageSize = 50
	// staleAge is how old a stale answer of the store is.
	staleAge = 3 * time.Second
)

// staleLaterPages makes a replica that lags answer the later pages of stale lists of hosts.
func staleLaterPages(w *world) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.age = func(kind, after string, watch bool) time.Duration {
		if kind == "servers" && after != "" && !watch {
			return staleAge
		}
		return 0
	}
}

// prepareSixty starts 60 hosts of notice-feed and 4 of notice-docs.
func prepareSixty(w *world) error {
	w.writeManifest()
	if _, err := w.startHosts("notice-feed", []int{5, 20, 20, 15}); err != nil {
		return err
	}
	_, err := w.startHosts("notice-docs", []int{1, 1, 1, 1})
	return err
}

func usersSixty(w *world) error {
	posts := habit{method: "POST", requests: 6, pauseMin: time.Second, pauseMax: 8 * time.Second, timeLimit: 2 * time.Second, retries: 2}
	gets := posts
	gets.method, gets.timeLimit = "GET", 1500*time.Millisecond
	if err := w.startUsers([]int{400, 100, 100, 100}, 0, posts); err != nil {
		return err
	}
	return w.startUsers([]int{400, 100, 100, 100}, 1, gets)
}

// restartAt restarts an instance with SIGTERM; its next process starts at the given time,
// or as soon as the last one has ended.
func (w *world) restartAt(name string, at time.Time) error {
	i := w.instances[slices.IndexFunc(w.instances, func(i *instance) bool { return i.name == name })]
	w.terminate(i)
	w.sleep(max(time.Until(at), 300*time.Millisecond))
	return w.start(i)
}

// playPagesNew adds a host, and restarts the instances of its zone one after the other.
func playPagesNew(w *world, trouble bool) error {
	return w.run(func() error { return prepareSixty(w) }, func() error { return usersSixty(w) }, func() error {
		w.sleep(10 * time.Second)
		if trouble {
			staleLaterPages(w)
		}
		h, err := w.startHost(hostSpec{id: "i-f0000001", service: "notice-feed", zone: "derby", address: w.nextHostAddress()}, coldTime, 0)
		if err != nil {
			return err
		}
		w.sleep(500 * time.Millisecond)
		// The host has made its last change, that it is warm, 2.4 s after its start.
		if err := w.restartAt("edge-derby-2", h.born.Add(2650*time.Millisecond)); err != nil {
			return err
		}
		for _, name := range []string{"edge-derby-3", "edge-derby-1"} {
			w.sleep(9 * time.Second)
			if err := w.restartAt(name, time.Now()); err != nil {
				return err
			}
		}
		w.sleep(9 * time.Second)
		return nil
	})
}

// playPagesDrain drains a host, which ends 12 s later, and restarts an instance of its
// zone meanwhile.
func playPagesDrain(w *world, trouble bool) error {
	var h *host
	prepare := func() (err error) {
		if err = prepareSixty(w); err == nil {
			h, err = w.startHost(hostSpec{id: "i-f0000001", service: "notice-feed", zone: "derby", address: w.nextHostAddress()}, 0, 0)
		}
		return err
	}
	return w.run(prepare, func() error { return usersSixty(w) }, func() error {
		w.sleep(8 * time.Second)
		if trouble {
			staleLaterPages(w)
		}
		restarted := make(chan error, 1)
		ended := time.Now().Add(1500 * time.Millisecond)
		go func() { restarted <- w.restartAt("edge-derby-2", ended.Add(1500*time.Millisecond)) }()
		w.sleep(time.Until(ended))
		h.drain()
		if err := <-restarted; err != nil {
			return err
		}
		w.sleep(12 * time.Second)
		h.stop(true)
		w.sleep(3 * time.Second)
		return nil
	})
}
