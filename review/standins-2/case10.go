package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// configApply is the bound config-apply-ms of the settings.
	configApply = 3000 * time.Millisecond
	// movedFor is how long the store answers at both addresses.
	movedFor = 5 * time.Second
)

// caseSettingsChange moves the platform's store to another address: the settings files change
// and the processes get SIGHUP; the old address goes on for a while. Then a configuration drops
// a route. A request for it that is sent later than config-apply-ms after the acknowledgement
// must not run.
func caseSettingsChange(play *Play) {
	play.Setup("dele", "kani", "suru")
	traffic := NewTraffic(play)
	for _, name := range []string{"dele", "kani", "suru"} {
		traffic.Run(name, "patch", 7, 300*time.Millisecond, false)
	}
	time.Sleep(4 * time.Second)
	play.moveStore()
	traffic.Run("dele", "status", 14, 200*time.Millisecond, false)
	time.Sleep(time.Second)
	play.Configure(2, []string{"dele", "kani", "suru"}, "delestatus")
	acknowledgedAt := time.Now()
	play.record.Say("version 2, without the database delestatus, is acknowledged at %.3f s", acknowledgedAt.Sub(play.record.started).Seconds())
	time.Sleep(8 * time.Second)
	traffic.Stop()
	traffic.checkDroppedRoute("delestatus", acknowledgedAt)
}

// moveStore changes the address of the store in all settings files, sends SIGHUP to five of
// the seven machines, and ends the old address after movedFor.
func (play *Play) moveStore() {
	if !play.trouble {
		time.Sleep(movedFor)
		return
	}
	listener, err := net.Listen("tcp4", play.world.host+":0")
	if err != nil {
		fail("%v", err)
	}
	old := play.server
	play.server = play.store.Serve(listener)
	for number, node := range play.nodes {
		text, err := os.ReadFile(node.settings)
		if err != nil {
			fail("%v", err)
		}
		changed := strings.Replace(string(text), "platform.address="+play.address, "platform.address="+listener.Addr().String(), 1)
		if err := os.WriteFile(node.settings, []byte(changed), 0o600); err != nil {
			fail("%v", err)
		}
		if number < signalled {
			_ = node.command.Process.Signal(syscall.SIGHUP)
			play.record.Say("the settings of %s name the store at %s instead of %s; it gets SIGHUP", node.name, listener.Addr(), play.address)
		}
	}
	time.Sleep(movedFor)
	_ = old.Close()
	play.record.Say("the store answers at %s only", listener.Addr())
}

// signalled is how many of the seven machines get SIGHUP, a share of 0.71.
const signalled = 5

// checkDroppedRoute checks that no request for a dropped route ran that was sent, to a machine
// that got SIGHUP, later than configApply after the acknowledgement.
func (traffic *Traffic) checkDroppedRoute(database string, acknowledgedAt time.Time) {
	play := traffic.play
	play.world.mutex.Lock()
	defer play.world.mutex.Unlock()
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	late := 0
	for _, ran := range play.world.runs {
		sent := traffic.sent[ran.id]
		if sent.database != database || sent.node >= signalled || sent.at.Sub(acknowledgedAt) <= configApply {
			continue
		}
		late++
		if late <= 20 {
			play.Break("CONFIG: %q with id %s, sent to %s %d ms after the acknowledgement, ran on %s", ran.text, ran.id,
				play.nodes[sent.node].name, sent.at.Sub(acknowledgedAt).Milliseconds(), ran.member)
		}
	}
	play.record.Say("%d runs of clients' statements, %d of them of the dropped route and late; answers by code: %v", len(play.world.runs), late, traffic.codes)
	for _, node := range play.nodes {
		for _, line := range node.Log("reload", `"directory"`) {
			play.record.Add("log of %s: %s", node.name, fmt.Sprint(line))
		}
	}
}
