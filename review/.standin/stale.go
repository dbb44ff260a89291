package main

import (
	"time"
)

func init() {
	scenarios["stale-watch"] = scenario{rule: "DRAIN", play: playStaleWatch, site: func() site { return tmnc }}
}

// replicaAge is how old the answers to stale calls are.
const replicaAge = 5500 * time.Millisecond

// playStaleWatch drains four hosts of a service one after the other, while every answer to
// a call with allow_stale=1 is as old as a replica may be.
func playStaleWatch(w *world, trouble bool) error {
	var hosts []*host
	prepare := func() (err error) {
		w.writeManifest()
		if hosts, err = w.startHosts("notice-feed", []int{4, 4, 3, 3}); err == nil {
			_, err = w.startHosts("notice-docs", []int{1, 1, 1, 1})
		}
		return err
	}
	gets := habit{method: "GET", requests: 1, pauseMin: 100 * time.Millisecond, pauseMax: 300 * time.Millisecond, timeLimit: 1500 * time.Millisecond, retries: 2}
	return w.run(prepare, func() error { return w.startUsers([]int{28, 22, 25, 21}, 1, gets) }, func() error {
		if trouble {
			w.store.mu.Lock()
			w.store.age = func(string, string, bool) time.Duration { return replicaAge }
			w.store.mu.Unlock()
		}
		w.sleep(8 * time.Second)
		var leaving []*host
		for _, n := range []int{0, 4, 8, 11} {
			leaving = append(leaving, hosts[n])
			hosts[n].drain()
			w.sleep(time.Second)
		}
		w.sleep(6 * time.Second)
		for _, h := range leaving {
			h.stop(true)
		}
		w.sleep(3 * time.Second)
		return nil
	})
}
