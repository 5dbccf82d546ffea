package main

import (
	"encoding/json"
	"slices"
	"time"
)

// caseForeignMember lets another writer leave an entry in which fields are missing. It names
// a copy of a database, such as one that was restored to look at it, which serves whoever
// names it. The entry names no member to use, so reads of primary routes must not miss what
// the members have acknowledged.
func caseForeignMember(play *Play) {
	play.Setup("dele", "kani", "suru")
	service := play.world.services["dele"]
	traffic := NewTraffic(play)
	for _, name := range []string{"dele", "kani", "suru"} {
		traffic.Run(name, "patch", 14, 200*time.Millisecond, false)
		traffic.Run(name, "status", 14, 250*time.Millisecond, false)
	}
	time.Sleep(2 * time.Second)
	play.world.mutex.Lock()
	restored := &Service{name: service.name, term: service.term, log: slices.Clone(service.log)}
	play.world.mutex.Unlock()
	time.Sleep(3 * time.Second)
	server := play.world.AddMember(restored, "i-7e570000c0", "fukuoka", false)
	play.record.Say("the copy %s of %s runs at %s, with %d commits", server.id, service.name, server.Address(), len(restored.log))
	if play.trouble {
		entry, _ := json.Marshal(map[string]any{
			"backend": service.name, "address": server.Address(), "zone": server.zone, "state": "ready", "db-role": "primary", "sequence": 1,
		})
		play.record.Say("another writer puts servers/%s: %s", server.id, entry)
		play.store.Put("servers/"+server.id, entry)
	}
	time.Sleep(8 * time.Second)
	traffic.Stop()
	time.Sleep(2 * time.Second)
	traffic.checkStrangers(server)
	traffic.checkStrictReads()
	traffic.checkWrites()
}

// checkStrangers records how many clients' statements a server ran that is no member.
func (traffic *Traffic) checkStrangers(server *Member) {
	play := traffic.play
	play.world.mutex.Lock()
	defer play.world.mutex.Unlock()
	count := 0
	for _, ran := range play.world.runs {
		if ran.member == server.id {
			count++
		}
	}
	play.record.Say("%d runs of clients' statements, %d of them on the server that is no member; answers by code: %v", len(play.world.runs), count, traffic.codes)
}

// checkStrictReads checks that each read of a primary route ran on a log with every commit
// that was acknowledged before the read was sent.
func (traffic *Traffic) checkStrictReads() {
	play := traffic.play
	play.world.mutex.Lock()
	defer play.world.mutex.Unlock()
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	commits := map[string]commit{}
	for _, service := range play.world.services {
		for index, entry := range service.log {
			for _, id := range entry.writeIDs {
				commits[id] = commit{number: entry.number, index: index}
			}
		}
	}
	stale, reads := 0, 0
	for _, ran := range play.world.runs {
		sentAt, strict := traffic.strictReads[ran.id]
		if !strict {
			continue
		}
		reads++
		for id, ack := range traffic.acknowledged {
			// A write without a commit in the end was rolled back, or acknowledged by a server
			// that is no member.
			commit, found := commits[id]
			if !found || ack.service != ran.service.name || !ack.at.Before(sentAt) || commit.isIn(ran.log) {
				continue
			}
			stale++
			if stale <= 20 {
				play.Break("STALE: the read %s, sent at %.3f s, ran on %s without the write %s, acknowledged at %.3f s", ran.id,
					sentAt.Sub(play.record.started).Seconds(), ran.member, id, ack.at.Sub(play.record.started).Seconds())
			}
			break
		}
	}
	play.record.Say("%d single reads of primary routes, %d of them stale", reads, stale)
}

// commit is a commit of a service's log in the end.
type commit struct {
	number int64
	index  int
}

// isIn reports whether a log has the commit.
func (commit commit) isIn(log []logEntry) bool {
	return commit.index < len(log) && log[commit.index].number == commit.number
}
