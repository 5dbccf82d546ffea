package main

import (
	"maps"
	"time"
)

// caseSettings lets one primary refuse a part of its requests, as in caseRollback, and checks
// that each statement ran with the session values that were acknowledged to its client.
func caseSettings(play *Play) {
	play.Setup("dele", "kani", "suru")
	traffic := NewTraffic(play)
	for _, service := range []string{"dele", "kani", "suru"} {
		traffic.Run(service, "status", 21, 200*time.Millisecond, true)
	}
	time.Sleep(5 * time.Second)
	play.greyPrimary("dele")
	time.Sleep(3 * time.Second)
	traffic.Stop()
	traffic.checkValues()
}

// checkValues checks the session values of each run.
func (traffic *Traffic) checkValues() {
	play := traffic.play
	play.world.mutex.Lock()
	defer play.world.mutex.Unlock()
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, ran := range play.world.runs {
		if ran.outcome == "commit" || maps.Equal(ran.settings, traffic.expected[ran.id]) {
			continue
		}
		play.Break("PINNED: %q with id %s of session %s ran on %s with the values %v; acknowledged to the session are %v",
			ran.text, ran.id, traffic.sessionOf[ran.id], ran.member, ran.settings, traffic.expected[ran.id])
	}
	play.record.Say("%d runs of clients' statements; answers by code: %v", len(play.world.runs), traffic.codes)
}
