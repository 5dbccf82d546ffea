package main

import (
	"time"
)

// greyFor and greyShare are the length and the strength of the disruption srv_grey in the
// site files: one of nine members is a share of 0.11 of them.
const (
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.45
)

// caseRollback lets one primary refuse a part of its requests, and checks that the writes
// that were acknowledged are in the log and that no statement ran inside the transaction of
// another session.
func caseRollback(play *Play) {
	play.Setup("dele", "kani", "suru")
	traffic := NewTraffic(play)
	for _, service := range []string{"dele", "kani", "suru"} {
		traffic.Run(service, "patch", 14, 200*time.Millisecond, false)
		traffic.Run(service, "status", 14, 250*time.Millisecond, false)
	}
	time.Sleep(5 * time.Second)
	play.greyPrimary("dele")
	time.Sleep(3 * time.Second)
	traffic.Stop()
	time.Sleep(4 * time.Second)
	traffic.checkTransactions()
	traffic.checkWrites()
}

// greyPrimary makes the primary of a service grey for greyFor, if there is to be trouble.
func (play *Play) greyPrimary(service string) {
	member := play.world.Primary(play.world.services[service])
	if play.trouble {
		play.record.Say("member %s, the primary of %s, refuses %.2f of its requests with BUSY from now on", member.id, service, greyShare)
		member.SetGrey(greyShare)
	}
	time.Sleep(greyFor)
	member.SetGrey(0)
	play.record.Say("member %s is sound; it refused %v", member.id, member.refused)
}

// checkTransactions checks that no statement ran inside a member's transaction in which a
// statement of another session ran.
func (traffic *Traffic) checkTransactions() {
	play := traffic.play
	play.world.mutex.Lock()
	defer play.world.mutex.Unlock()
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	first := map[int64]run{}
	for _, ran := range play.world.runs {
		if ran.tx == 0 {
			continue
		}
		before, found := first[ran.tx]
		if !found {
			first[ran.tx] = ran
			continue
		}
		if traffic.sessionOf[before.id] != traffic.sessionOf[ran.id] {
			play.Break("PINNED: %q with id %s of session %s ran on connection %d of %s inside the transaction of session %s",
				ran.text, ran.id, traffic.sessionOf[ran.id], ran.conn, ran.member, traffic.sessionOf[before.id])
		}
	}
	play.record.Say("%d runs of clients' statements; answers by code: %v; promotions: %v", len(play.world.runs), traffic.codes, play.world.promotions)
}

// checkWrites records which acknowledged writes are not in their service's log, though no
// promotion rolled them back. It is what follows from a broken rule, not the check of one.
func (traffic *Traffic) checkWrites() {
	play := traffic.play
	play.world.mutex.Lock()
	defer play.world.mutex.Unlock()
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	lost := 0
	for id, ack := range traffic.acknowledged {
		found := play.world.rolledBack[id]
		for _, entry := range play.world.services[ack.service].log {
			for _, held := range entry.writeIDs {
				found = found || held == id
			}
		}
		if !found {
			lost++
			play.record.Add("lost: the write %s of session %s was acknowledged at %.3f s and is not in the log of %s",
				id, ack.session, ack.at.Sub(play.record.started).Seconds(), ack.service)
		}
	}
	play.record.Say("%d writes acknowledged, %d of them lost", len(traffic.acknowledged), lost)
}
