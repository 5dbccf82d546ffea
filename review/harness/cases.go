package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// settleTime is how long the machines run before a disruption: more than stable-ms.
const settleTime = 5 * time.Second

// smuggle sends requests whose last field contains a line feed. A message ends with CR
// LF and its last field extends to the end of the line, so each is one request. A member
// may run it as it was sent or not at all.
func smuggle(record *record, trouble bool) []string {
	deployment := start(record, 3, 1, 0)
	service := deployment.services[0]
	sent := map[string]string{}
	var texts []string
	for i := range 20 {
		texts = append(texts, fmt.Sprintf("WRITE note%d seam sealed", i))
		if trouble {
			texts = append(texts, fmt.Sprintf("WRITE memo%d seam 1 sealed\nseam 2 open", i),
				fmt.Sprintf("WRITE item%d x\nQUERY %s WRITE order%d forged", i, newID(), i))
		}
	}
	for i, text := range texts {
		client, err := dial(deployment.fleet.nodes[i%len(deployment.fleet.nodes)], database(service))
		if err != nil {
			cannotRun(err.Error())
		}
		id := newID()
		sent[id] = text
		record.line("sent id=%s text=%q", id, text)
		answer := client.query(id, text, 2*time.Second)
		record.line("answered id=%s code=%q signature=%q", id, answer.code, answer.signature)
		client.close()
	}
	time.Sleep(500 * time.Millisecond)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if len(service.runs) == 0 {
		cannotRun("no statement was run")
	}
	var violations []string
	for _, run := range service.runs {
		record.line("run member=%s id=%s text=%q", run.member, run.id, run.text)
		text, found := sent[run.id]
		switch {
		case !found:
			violations = append(violations, fmt.Sprintf("UNASKED: %s ran id %s, which no client sent: %q", run.member, run.id, run.text))
		case text != run.text:
			violations = append(violations, fmt.Sprintf("UNASKED: %s ran id %s as %q, sent was %q", run.member, run.id, run.text, text))
		}
	}
	return violations
}

// database is the name of the primary route's database of a service.
func database(service *service) string { return "patchlog-" + service.name }

// attempt is one write of a client and its outcome; code is empty for a success.
type attempt struct {
	service  *service
	id, code string
}

// load is a number of sessions that write until they are stopped.
type load struct {
	deployment *deployment
	stop       chan struct{}
	group      sync.WaitGroup
	mutex      sync.Mutex
	attempts   []attempt
}

// startLoad starts sessions with each service; each pauses between two writes.
func startLoad(deployment *deployment, sessions int, pause time.Duration) *load {
	load := &load{deployment: deployment, stop: make(chan struct{})}
	for _, service := range deployment.services {
		for i := range sessions {
			load.group.Go(func() { load.write(service, i, pause) })
		}
	}
	return load
}

// end stops the sessions and returns the attempts.
func (load *load) end() []attempt {
	close(load.stop)
	load.group.Wait()
	return load.attempts
}

func (load *load) write(service *service, number int, pause time.Duration) {
	nodes := load.deployment.fleet.nodes
	var session *client
	for count := 0; ; count++ {
		select {
		case <-load.stop:
			if session != nil {
				session.close()
			}
			return
		case <-time.After(pause):
		}
		if session == nil {
			opened, err := dial(nodes[(number+count)%len(nodes)], database(service))
			if err != nil {
				continue
			}
			session = opened
		}
		id := newID()
		answer := session.query(id, fmt.Sprintf("WRITE s%dn%d data%d", number, count%50, count), time.Second)
		load.mutex.Lock()
		load.attempts = append(load.attempts, attempt{service: service, id: id, code: answer.code})
		load.mutex.Unlock()
		if answer.code == "cut" {
			session.close()
			session = nil
		}
		if answer.code != "" {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

const (
	// drainBound is drain-ms.
	drainBound = 7 * time.Second
	// releases is how often the primary of each service is replaced.
	releases        = 10
	releaseInterval = drainBound + 2*time.Second
	// A replica receives nothing for deafFor, from a moment within deafWithin of the release
	// on.
	deafFor    = 3 * time.Second
	deafWithin = 400 * time.Millisecond
	// A commit takes from inZoneDelay to crossZoneDelay to a replica.
	inZoneDelay    = 200 * time.Microsecond
	crossZoneDelay = 900 * time.Microsecond
)

// synced replaces the primaries of services with sync-replicas = 1, one time after the
// other, while clients write. Each time one replica receives nothing for a while. A commit is acknowledged once one replica has received it.
func synced(record *record, trouble bool) []string {
	deployment := start(record, 3, 3, 1)
	load := startLoad(deployment, 12, 5*time.Millisecond)
	time.Sleep(settleTime)
	for number := range releases {
		for _, service := range deployment.services {
			if trouble {
				service.replacePrimary(number)
				time.AfterFunc(rand.N(deafWithin), service.deafenReplica)
			}
			time.Sleep(releaseInterval / time.Duration(len(deployment.services)))
		}
	}
	attempts := load.end()
	time.Sleep(time.Second)
	promotions := 0
	kept, lostAt := map[string]bool{}, map[string]promotion{}
	for _, service := range deployment.services {
		service.mutex.Lock()
		for _, entry := range service.primary.log {
			for _, id := range entry.ids {
				kept[id] = true
			}
		}
		for _, promotion := range service.promoted {
			for _, id := range promotion.lost {
				lostAt[id] = promotion
			}
		}
		promotions += len(service.promoted)
		service.mutex.Unlock()
	}
	var violations []string
	for _, attempt := range attempts {
		record.line("write service=%s id=%s answer=%q kept=%t", attempt.service.name, attempt.id, attempt.code, kept[attempt.id])
		if attempt.code == "" && !kept[attempt.id] {
			promotion := lostAt[attempt.id]
			violations = append(violations, fmt.Sprintf("LOST: write %s was acknowledged and is not in the log of %s, which was promoted to term %d",
				attempt.id, promotion.member, promotion.term))
		}
	}
	record.line("writes=%d promotions=%d", len(attempts), promotions)
	if trouble && promotions == 0 {
		cannotRun("no primary was replaced")
	}
	return violations
}

// deafenReplica makes a random replica receive nothing for deafFor.
func (service *service) deafenReplica() {
	service.mutex.Lock()
	var replicas []*member
	for _, member := range service.members {
		if member != service.primary && !member.draining {
			replicas = append(replicas, member)
		}
	}
	if len(replicas) == 0 {
		service.mutex.Unlock()
		return
	}
	deaf := replicas[rand.IntN(len(replicas))]
	deaf.deafUntil = time.Now().Add(deafFor)
	service.mutex.Unlock()
	service.record.line("replica %s receives nothing for %s", deaf.id, deafFor)
}

// replacePrimary lets the primary drain. It serves on for drain-ms and a little longer;
// then a new member takes over its address and its log.
func (service *service) replacePrimary(number int) {
	service.mutex.Lock()
	old := service.primary
	service.mutex.Unlock()
	service.record.line("release: %s drains", old.id)
	old.drain()
	time.AfterFunc(drainBound+500*time.Millisecond, func() {
		service.mutex.Lock()
		led := service.primary == old
		service.mutex.Unlock()
		if led {
			service.record.line("release: %s was not replaced and stays", old.id)
			return
		}
		old.end()
		added := service.addMember(fmt.Sprintf("i-%s-n%d", service.name, number), old.zone, old.listener.Addr().String())
		service.record.line("release: %s ended, %s has its address", old.id, added.id)
		added.publish()
	})
}

const (
	// dutyOutage is how long the platform refuses promotions.
	dutyOutage = 9 * time.Second
	// linger is how long a draining member goes on beyond drainBound.
	linger = 4 * time.Second
)

// drain lets the primary drain while the platform's promotion endpoint is down.
func drain(record *record, trouble bool) []string {
	deployment := start(record, 3, 1, 0)
	service := deployment.services[0]
	load := startLoad(deployment, 6, 20*time.Millisecond)
	time.Sleep(settleTime)
	service.mutex.Lock()
	old := service.primary
	if trouble {
		service.refusePromotions = time.Now().Add(dutyOutage)
	}
	service.mutex.Unlock()
	acknowledged := old.drain()
	record.line("draining acknowledged member=%s promotions refused=%t", old.id, trouble)
	time.Sleep(drainBound + linger)
	old.end()
	attempts := load.end()
	answers := map[string]string{}
	for _, attempt := range attempts {
		answers[attempt.id] = attempt.code
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	var violations []string
	for _, run := range service.runs {
		late := run.at.Sub(acknowledged)
		record.line("run member=%s id=%s after-ack=%.3fs answer=%q", run.member, run.id, late.Seconds(), answers[run.id])
		if run.member == old.id && run.opener && late > drainBound {
			violations = append(violations, fmt.Sprintf("DRAIN: %s reached %s %.3f s after its draining was acknowledged", run.id, old.id, late.Seconds()))
		}
	}
	record.line("writes=%d promotion orders=%d", len(attempts), service.orders)
	return violations
}

const (
	// stormRoutes is how many routes the configuration grows by.
	stormRoutes = 1400
	// stormGap and stormLength are those of a storm of configurations.
	stormGap    = 80 * time.Millisecond
	stormLength = 2 * time.Second
	// applyBound is config-apply-ms.
	applyBound = 3 * time.Second
	// silentAfter is the time from the start of the storm until the connections to the store
	// go silent, stable is stable-ms.
	silentAfter = 200 * time.Millisecond
	stable      = 4 * time.Second
)

// storm lets a large configuration change in quick succession; the last version drops a
// route. A session of that route goes on.
func storm(record *record, trouble bool) []string {
	deployment := start(record, 7, 1, 0)
	service := deployment.services[0]
	deployment.extraRoutes, deployment.extraDatabase = stormRoutes, "dropped"
	deployment.publish()
	time.Sleep(settleTime)
	size := deployment.publish()
	record.line("the configuration has %d bytes", size)
	time.Sleep(settleTime)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	sentAt, answers := map[string]time.Time{}, map[string]string{}
	for _, node := range deployment.fleet.nodes {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				session, err := dial(node, "dropped")
				if err != nil {
					continue
				}
				id, now := newID(), time.Now()
				answer := session.query(id, "WRITE dropped data", time.Second)
				mutex.Lock()
				sentAt[id], answers[id] = now, answer.code
				mutex.Unlock()
				session.close()
			}
		})
	}
	time.Sleep(time.Second)
	silentAt := time.Now()
	if trouble {
		silentAt = silentAt.Add(silentAfter)
		time.AfterFunc(silentAfter, func() {
			deployment.store.silence()
			record.line("the open connections to the store go silent")
		})
		for end := time.Now().Add(stormLength); time.Now().Before(end); time.Sleep(stormGap) {
			deployment.publish()
		}
	}
	deployment.extraDatabase = ""
	deployment.publish()
	acknowledged := time.Now()
	record.line("version %d is acknowledged; it drops the route", deployment.version)
	time.Sleep(22 * time.Second)
	close(stop)
	group.Wait()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	// From then on the machines are in touch, and the bound has passed once more.
	inForce := acknowledged
	if end := silentAt.Add(stable); end.After(inForce) {
		inForce = end
	}
	var violations []string
	for _, run := range service.runs {
		late := sentAt[run.id].Sub(acknowledged)
		record.line("run member=%s id=%s sent-after-ack=%.3fs answer=%q", run.member, run.id, late.Seconds(), answers[run.id])
		if sentAt[run.id].Sub(inForce) > applyBound {
			violations = append(violations, fmt.Sprintf("CONFIG: %s was sent %.3f s after the version that drops its route and was run by %s", run.id, late.Seconds(), run.member))
		}
	}
	return violations
}
