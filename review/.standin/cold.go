package main

import (
	"net/http"
	"slices"
	"time"
)

// rota is the small deployment of the site file rota-commune: its last zone has one edge
// machine.
var rota = site{
	zones: []string{"sahel-a", "sahel-b", "sahel-c", "sahel-d"}, machines: []int{2, 2, 2, 1},
	heartbeat: 1200 * time.Millisecond, pageSize: 500,
}

func init() {
	site := func() site { return rota }
	scenarios["evacuation-unseen"] = scenario{rule: "FAILBACK", play: playEvacuationUnseen, site: site}
	scenarios["evacuation-restart"] = scenario{rule: "FAILBACK", play: playEvacuationRestart, site: site}
}

const (
	// unseenRate and restartRate are the numbers of requests a second that a cold host
	// bears in the two cases, so that the limits of the rule are 10 * 1.5 + 5 = 20 and
	// 5 * 1.5 + 5 = 12.5 a second.
	unseenRate, restartRate = 10, 5
	// coldBefore is how long before the end of an evacuation the hosts of its zone have
	// become cold.
	coldBefore = 200 * time.Millisecond
	evacuated  = "sahel-d"
)

// prepareRota starts the hosts of the deployment.
func prepareRota(w *world, coldRate float64) (zone []*host, err error) {
	w.coldRate = coldRate
	w.writeManifest()
	hosts, err := w.startHosts("notice-feed", []int{4, 4, 3, 3})
	if err != nil {
		return nil, err
	}
	_, err = w.startHosts("notice-docs", []int{1, 1, 1, 1})
	return slices.DeleteFunc(hosts, func(h *host) bool { return h.zone != evacuated }), err
}

// usersRota opens a flow for each request: about 85 a second in each zone, 100 in the one that is evacuated.
func usersRota(w *world) error {
	gets := habit{method: "GET", requests: 1, pauseMin: 100 * time.Millisecond, pauseMax: 300 * time.Millisecond, timeLimit: 1500 * time.Millisecond, retries: 2}
	return w.startUsers([]int{20, 20, 20, 24}, 1, gets)
}

// endEvacuation ends the evacuation of a zone, whose hosts have become cold shortly before.
func (w *world) endEvacuation(zone []*host) {
	for _, h := range zone {
		h.chill(coldTime)
	}
	w.sleep(coldBefore)
	w.store.remove("evacuations", evacuated)
	w.record("evacuation of %s ended", evacuated)
}

// playEvacuationUnseen evacuates a zone while the store turns its only machine away.
func playEvacuationUnseen(w *world, trouble bool) error {
	var zone []*host
	prepare := func() (err error) { zone, err = prepareRota(w, unseenRate); return err }
	return w.run(prepare, func() error { return usersRota(w) }, func() error {
		machine := w.instances[len(w.instances)-1]
		w.sleep(4 * time.Second)
		if trouble {
			w.turnAway(machine, http.StatusServiceUnavailable)
		}
		w.sleep(time.Second)
		w.store.put("evacuations", evacuated, map[string]any{})
		w.record("evacuation of %s confirmed", evacuated)
		w.sleep(4 * time.Second)
		w.endEvacuation(zone)
		w.sleep(3700 * time.Millisecond)
		if trouble {
			// 9 s after it began.
			w.turnAway(machine, 0)
		}
		w.sleep(3 * time.Second)
		for _, h := range zone {
			w.judgeCold(h)
		}
		return nil
	})
}

// playEvacuationRestart kills the only machine of an evacuated zone 0.3 s before the end of
// the evacuation; its process starts again at the end.
func playEvacuationRestart(w *world, trouble bool) error {
	var zone []*host
	prepare := func() (err error) { zone, err = prepareRota(w, restartRate); return err }
	return w.run(prepare, func() error { return usersRota(w) }, func() error {
		machine := w.instances[len(w.instances)-1]
		w.sleep(4 * time.Second)
		w.store.put("evacuations", evacuated, map[string]any{})
		w.record("evacuation of %s confirmed", evacuated)
		w.sleep(6 * time.Second)
		if trouble {
			w.kill(machine)
		}
		w.sleep(100 * time.Millisecond)
		w.endEvacuation(zone)
		if trouble {
			if err := w.start(machine); err != nil {
				return err
			}
		}
		w.sleep(5 * time.Second)
		for _, h := range zone {
			w.judgeCold(h)
		}
		return nil
	})
}
