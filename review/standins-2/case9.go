package main

import (
	"strings"
	"time"
)

// caseForeignService registers the members of a service that no configuration names. Then its
// primary is to be replaced, which is the business of whoever runs that service. None of its
// members may get a request, and nobody may order a promotion there.
func caseForeignService(play *Play) {
	play.Setup("dele", "kani", "suru")
	traffic := NewTraffic(play)
	for _, name := range []string{"dele", "kani", "suru"} {
		traffic.Run(name, "patch", 7, 300*time.Millisecond, false)
	}
	other := &Service{name: "other", term: 5, observed: true, log: []logEntry{{term: 5, committedAt: time.Now()}}}
	play.world.mutex.Lock()
	play.world.services[other.name] = other
	play.world.mutex.Unlock()
	time.Sleep(3 * time.Second)
	var members []*Member
	for i, zone := range memberZones {
		members = append(members, play.world.AddMember(other, []string{"i-0the400001", "i-0the400002", "i-0the400003"}[i], zone, play.trouble))
	}
	if play.trouble {
		play.record.Say("the members of service %s, which the configuration does not name, are registered", other.name)
	}
	time.Sleep(4 * time.Second)
	if play.trouble {
		play.world.mutex.Lock()
		members[0].state = "draining"
		play.world.mutex.Unlock()
		members[0].Publish()
		play.record.Say("its primary %s reports that it is draining", members[0].id)
	}
	time.Sleep(6 * time.Second)
	traffic.Stop()
	play.checkForeignService(other)
	traffic.checkWrites()
}

// checkForeignService checks that the members of a service got no requests, and says which
// promotions were ordered there.
func (play *Play) checkForeignService(service *Service) {
	play.world.mutex.Lock()
	defer play.world.mutex.Unlock()
	for _, order := range play.world.promotions {
		if strings.HasPrefix(order, service.name+" ") {
			play.record.Say("POST /promote for a service that no configuration names: %s", order)
		}
	}
	for _, request := range play.world.ownRequests {
		play.Break("ROUTE: a member of a service that no configuration names ran the request: %s", request)
	}
	play.record.Say("%d requests at the members of %s; promotions: %v", len(play.world.ownRequests), service.name, play.world.promotions)
}
