package main

import (
	"math/rand/v2"
	"time"
)

func init() {
	scenarios["restart"] = scenario{rule: "FLOW", play: playRestart, site: func() site { return tmnc }}
}

// playRestart crashes 2 of the 14 hosts of a service, three times and other ones each
// time. Each starts again under its id, and makes its first report within one report
// interval of its start, at a random time. Consumers keep flows open for two requests with a pause between them.
func playRestart(w *world, trouble bool) error {
	const (
		down   = 100 * time.Millisecond
		rounds = 3
		apart  = 4 * time.Second
	)
	var hosts []*host
	prepare := func() (err error) {
		w.writeManifest()
		hosts, err = w.startHosts("notice-feed", []int{4, 4, 3, 3})
		if err == nil {
			_, err = w.startHosts("notice-docs", []int{1, 1, 1, 1})
		}
		return err
	}
	users := func() error {
		posts := habit{method: "POST", requests: 2, pauseMin: 4500 * time.Millisecond, pauseMax: 12 * time.Second, timeLimit: 2 * time.Second, retries: 2}
		gets := posts
		gets.method, gets.timeLimit = "GET", 1500*time.Millisecond
		if err := w.startUsers([]int{480, 480, 360, 360}, 0, posts); err != nil {
			return err
		}
		return w.startUsers([]int{480, 480, 360, 360}, 1, gets)
	}
	return w.run(prepare, users, func() error {
		w.sleep(15 * time.Second)
		for round := range rounds {
			// One host of derby or leicester, and one of nottingham or coventry.
			crashed := []*host{hosts[[]int{0, 8, 1}[round]], hosts[[]int{4, 11, 5}[round]]}
			for _, h := range crashed {
				if trouble {
					h.stop(false)
				}
			}
			w.sleep(down)
			for _, h := range crashed {
				if !trouble {
					continue
				}
				if _, err := w.startHost(h.hostSpec, coldTime, time.Duration(rand.Int64N(int64(w.heartbeat)))); err != nil {
					return err
				}
			}
			w.sleep(apart)
		}
		w.sleep(12 * time.Second)
		return nil
	})
}
