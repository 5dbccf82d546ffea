package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Traffic is the clients of a play, and what they were told.
type Traffic struct {
	play    *Play
	stopped chan struct{}
	group   sync.WaitGroup

	mutex sync.Mutex
	// sessionOf names the session that sent a request, by its id. expected are the values
	// that were acknowledged to the session by then.
	sessionOf map[string]string
	expected  map[string]map[string]string
	// acknowledged holds the writes that were acknowledged, by id.
	acknowledged map[string]ack
	codes        map[string]int
	// strictReads holds when the single reads of primary routes were sent.
	strictReads map[string]time.Time
}

// ack is an acknowledged write.
type ack struct {
	at      time.Time
	session string
	service string
}

// NewTraffic returns the traffic without clients.
func NewTraffic(play *Play) *Traffic {
	return &Traffic{
		play: play, stopped: make(chan struct{}), sessionOf: map[string]string{}, expected: map[string]map[string]string{},
		acknowledged: map[string]ack{}, codes: map[string]int{}, strictReads: map[string]time.Time{},
	}
}

// Stop ends all clients and waits for them.
func (traffic *Traffic) Stop() {
	close(traffic.stopped)
	traffic.group.Wait()
}

func (traffic *Traffic) isStopped() bool {
	select {
	case <-traffic.stopped:
		return true
	default:
		return false
	}
}

// sessionState is one client's session and the values that were acknowledged to it.
type sessionState struct {
	*Client
	traffic *Traffic
	service string
	values  map[string]string
}

// send sends a request of the session and counts the answer.
func (session *sessionState) send(text string) (id string, reply Reply) {
	id = newID()
	traffic := session.traffic
	traffic.mutex.Lock()
	traffic.sessionOf[id] = session.name
	values := map[string]string{}
	for name, value := range session.values {
		values[name] = value
	}
	traffic.expected[id] = values
	traffic.mutex.Unlock()
	reply = session.Query(id, text, 3*time.Second)
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if reply.Err != nil {
		traffic.codes["no answer"]++
	} else {
		traffic.codes[reply.Code]++
	}
	return id, reply
}

// acknowledge records that writes were acknowledged.
func (session *sessionState) acknowledge(ids ...string) {
	traffic := session.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, id := range ids {
		traffic.acknowledged[id] = ack{at: time.Now(), session: session.name, service: session.service}
	}
}

// Run starts clients: each keeps a session with one database open at one proxy and makes one
// operation after the other. kind is the kind of the route, setEach says that each operation
// begins with a SET.
func (traffic *Traffic) Run(service, kind string, clients int, pause time.Duration, setEach bool) {
	for number := range clients {
		node := traffic.play.nodes[number%len(traffic.play.nodes)]
		traffic.group.Go(func() {
			for life := 0; !traffic.isStopped(); life++ {
				name := fmt.Sprintf("%s-%s-%d.%d", service, kind, number, life)
				client, err := Dial(traffic.play.record, name, node.Front(), service+kind)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				session := &sessionState{Client: client, traffic: traffic, service: service, values: map[string]string{}}
				for !traffic.isStopped() && session.operate(kind, setEach) {
					time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
				}
				client.Close()
			}
		})
	}
}

// operate makes one operation and reports whether the session goes on.
func (session *sessionState) operate(kind string, setEach bool) bool {
	if setEach || len(session.values) == 0 {
		name, value := "app", fmt.Sprintf("v%d", rand.IntN(1000))
		_, reply := session.send("SET " + name + " " + value)
		if reply.Err != nil || reply.Code != "DONE" {
			return false
		}
		session.values[name] = value
	}
	writeShare, txShare := 0.35, 0.4
	switch kind {
	case "browse":
		writeShare, txShare = 0, 0.1
	case "status":
		writeShare, txShare = 0.12, 0.12
	}
	if rand.Float64() < txShare {
		return session.transact(kind, writeShare)
	}
	id, reply := "", Reply{}
	if rand.Float64() < writeShare {
		id, reply = session.send(fmt.Sprintf("WRITE %x %x", rand.IntN(2000), rand.Uint32()))
		if reply.Code == "DONE" && reply.Sign != "-" {
			session.acknowledge(id)
		}
	} else {
		sentAt := time.Now()
		id, reply = session.send(fmt.Sprintf("READ %x", rand.IntN(2000)))
		if kind == "patch" {
			session.traffic.mutex.Lock()
			session.traffic.strictReads[id] = sentAt
			session.traffic.mutex.Unlock()
		}
	}
	return reply.Err == nil && session.state == "I"
}

// transact makes a transaction of a few statements and commits it.
func (session *sessionState) transact(kind string, writeShare float64) bool {
	begin := "BEGIN"
	if kind == "browse" {
		begin = "BEGIN READ"
	}
	if _, reply := session.send(begin); reply.Err != nil || reply.Code != "DONE" {
		return reply.Err == nil && session.state == "I"
	}
	var writes []string
	for range 1 + rand.IntN(3) {
		text, isWrite := fmt.Sprintf("READ %x", rand.IntN(2000)), false
		if kind != "browse" && rand.Float64() < 0.5 {
			text, isWrite = fmt.Sprintf("WRITE %x %x", rand.IntN(2000), rand.Uint32()), true
		}
		id, reply := session.send(text)
		if reply.Err != nil {
			return false
		}
		if reply.Code != "DONE" {
			_, reply := session.send("ROLLBACK")
			return reply.Err == nil && session.state == "I"
		}
		if isWrite {
			writes = append(writes, id)
		}
		time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
	}
	_, reply := session.send("COMMIT")
	if reply.Code == "DONE" && reply.Sign != "-" {
		session.acknowledge(writes...)
	}
	return reply.Err == nil && session.state == "I"
}
