package main

import (
	"time"
)

func init() {
	scenarios["stale-watch"] = scenario{rule: "DRAIN", play: playStaleWatch, site: func() site { return tmnc }}
}

const (
	// pairDelay is the time between the reports of two hosts that leave together.
	pairDelay = 100 * time.Millisecond
	// pairsApart is the time between two scale-ins.
	pairsApart = 1500 * time.Millisecond
)

// playStaleWatch drains 2 of the 14 hosts of a service, three times, while every answer to
// a call with allow_stale=1 is staleAge old.
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
			w.store.age = func(string, string, bool) time.Duration { return staleAge }
			w.store.mu.Unlock()
		}
		w.sleep(8 * time.Second)
		var leaving []*host
		for _, pair := range [][2]int{{0, 4}, {8, 11}, {1, 5}} {
			for _, n := range pair {
				leaving = append(leaving, hosts[n])
				hosts[n].drain()
				w.sleep(pairDelay)
			}
			w.sleep(pairsApart)
		}
		w.sleep(4 * time.Second)
		for _, h := range leaving {
			h.stop(true)
		}
		w.sleep(3 * time.Second)
		return nil
	})
}
