package main

import "time"

const (
	// firstLate and secondLate are how much later the two orders are carried out that get no
	// answer: 2 to 12 s by the pages.
	firstLate  = 2200 * time.Millisecond
	secondLate = 5500 * time.Millisecond
	// deafFor is how long a replica receives nothing at most.
	deafFor = 6500 * time.Millisecond
	// deafDelay is how long after its order the second replica falls behind, too.
	deafDelay = 300 * time.Millisecond
)

// caseLateOrders replaces the primaries of all services. Of the four orders that this takes,
// two get no answer and are carried out late, both for the same service. Meanwhile one replica after the other receives nothing. Reads of primary routes
// must not miss commits that are in force in the end.
func caseLateOrders(play *Play) {
	play.Setup("dele", "kani", "suru")
	traffic := NewTraffic(play)
	for _, service := range []string{"dele", "kani", "suru"} {
		traffic.Run(service, "patch", 14, 200*time.Millisecond, false)
		traffic.Run(service, "status", 14, 250*time.Millisecond, false)
	}
	time.Sleep(5 * time.Second)
	world := play.world
	world.mutex.Lock()
	if play.trouble {
		world.lateService, world.late, world.onLate = "dele", []time.Duration{firstLate, secondLate}, play.deafenLater
	}
	world.mutex.Unlock()
	for _, service := range []string{"kani", "suru", "dele"} {
		primary := world.Primary(world.services[service])
		world.mutex.Lock()
		primary.state = "draining"
		world.mutex.Unlock()
		primary.Publish()
		play.record.Say("%s, the primary of %s, reports that it is draining", primary.id, service)
	}
	time.Sleep(10 * time.Second)
	traffic.Stop()
	time.Sleep(time.Second)
	traffic.checkStrictReads()
	traffic.checkWrites()
	world.mutex.Lock()
	defer world.mutex.Unlock()
	play.record.Say("%d orders, %d of them late: %v", len(world.promotions), world.orders, world.promotions)
}

// deafenLater makes the member of an order receive nothing: at once for the first order, a
// little later for the second one. The world's mutex is held.
func (play *Play) deafenLater(number int, member *Member) {
	delay := time.Duration(0)
	if number > 1 {
		delay = deafDelay
	}
	setDeaf := func(deaf bool) func() {
		return func() {
			play.world.mutex.Lock()
			defer play.world.mutex.Unlock()
			member.SetDeaf(deaf)
			play.record.Say("replica %s is deaf: %t", member.id, deaf)
		}
	}
	time.AfterFunc(delay, setDeaf(true))
	time.AfterFunc(delay+deafFor, setDeaf(false))
}
