package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memberSlots       = 3
	memberQueue       = 24
	memberConnections = 22
	// handshakeTime is how long a new connection occupies a slot.
	handshakeTime = 12 * time.Millisecond
	// statementTime is how long a read, write or commit occupies a slot.
	statementTime = 5 * time.Millisecond
	// promoteTime is the time from the acceptance of a promotion to its effect.
	promoteTime = 300 * time.Millisecond
	// maxMessage is the largest message of the line protocol.
	maxMessage = 1 << 20
)

// service is a group of members with one primary.
type service struct {
	name         string
	syncReplicas int
	store        *store

	mutex    sync.Mutex
	term     uint64
	primary  *member
	members  []*member
	fence    int64
	orders   int
	promoted []promotion
	runs     []run
	// refusePromotions makes the platform answer promotions with 503 until then.
	refusePromotions time.Time
	record           *record
}

// promotion is a promotion that took effect.
type promotion struct {
	at       time.Time
	member   string
	term     uint64
	received int
	// lost holds the ids of the acknowledged writes that the promoted member lacks.
	lost []string
}

// run is a statement that a member ran for a client; at is when it reached the member.
type run struct {
	at           time.Time
	member       string
	id, text     string
	inTx, opener bool
}

// entry is one commit in a member's log.
type entry struct {
	term  uint64
	ids   []string
	items map[string]string
	acked bool
}

// member is one database server.
type member struct {
	service  *service
	id, zone string
	listener net.Listener
	// log is what the member has received, in the order of the numbers.
	log      []*entry
	draining bool
	gone     bool
	sequence int
	slots    chan struct{}
	waiting  int
	conns    map[net.Conn]struct{}
	// deafUntil is until when the member receives nothing.
	deafUntil time.Time
}

func newService(record *record, store *store, name string, zones []string, syncReplicas int) *service {
	service := &service{name: name, store: store, term: 3, syncReplicas: syncReplicas, record: record}
	for i := range 3 {
		service.addMember(fmt.Sprintf("i-%s-%d", name, i), zones[i%len(zones)], "127.0.0.1:0")
	}
	service.mutex.Lock()
	service.primary = service.members[0]
	first := &entry{term: 3, items: map[string]string{}, acked: true}
	for _, member := range service.members {
		member.log = []*entry{first}
	}
	service.mutex.Unlock()
	for _, member := range service.members {
		member.publish()
	}
	return service
}

// addMember starts a member with the log of the primary, if there is one, and receives
// every later commit.
func (service *service) addMember(id, zone, address string) *member {
	member := &member{
		service: service, id: id, zone: zone, listener: listen(address),
		slots: make(chan struct{}, memberSlots), conns: map[net.Conn]struct{}{},
	}
	service.mutex.Lock()
	if service.primary != nil {
		member.log = append([]*entry(nil), service.primary.log...)
	}
	service.members = append(service.members, member)
	service.mutex.Unlock()
	go member.accept()
	return member
}

// publish writes the member's entry into the store.
func (member *member) publish() {
	member.service.mutex.Lock()
	member.sequence++
	state, role := "ready", "replica"
	if member.draining {
		state = "draining"
	}
	if member.service.primary == member {
		role = "primary"
	}
	body := map[string]any{
		"backend": member.service.name, "address": member.listener.Addr().String(), "zone": member.zone, "version": "v1",
		"capacity": memberSlots, "state": state, "cold-remaining-ms": 0, "db-role": role, "sequence": member.sequence,
		"born": time.Now().UnixMilli(),
	}
	gone := member.gone
	member.service.mutex.Unlock()
	if !gone {
		member.service.store.put("servers/"+member.id, body)
	}
}

// drain reports the member as draining; the store's acceptance is the acknowledgement.
func (member *member) drain() time.Time {
	member.service.mutex.Lock()
	member.draining = true
	member.service.mutex.Unlock()
	member.publish()
	return time.Now()
}

// end stops the member for good and removes its entry.
func (member *member) end() {
	member.service.mutex.Lock()
	member.gone = true
	_ = member.listener.Close()
	for conn := range member.conns {
		_ = conn.Close()
	}
	for i, other := range member.service.members {
		if other == member {
			member.service.members = append(member.service.members[:i:i], member.service.members[i+1:]...)
			break
		}
	}
	member.service.mutex.Unlock()
	member.service.store.remove("servers/" + member.id)
}

func (member *member) accept() {
	for {
		conn, err := member.listener.Accept()
		if err != nil {
			return
		}
		member.service.mutex.Lock()
		member.conns[conn] = struct{}{}
		full := len(member.conns) > memberConnections
		member.service.mutex.Unlock()
		go func() {
			if full {
				_, _ = conn.Write([]byte("ERR MAXCONN " + member.id + "\r\n"))
			} else {
				member.serve(conn)
			}
			_ = conn.Close()
			member.service.mutex.Lock()
			delete(member.conns, conn)
			member.service.mutex.Unlock()
		}()
	}
}

// scanMessages splits a stream at CR LF.
func scanMessages(data []byte, _ bool) (int, []byte, error) {
	if end := bytes.Index(data, []byte("\r\n")); end >= 0 {
		return end + 2, data[:end], nil
	}
	return 0, nil, nil
}

// newScanner returns a scanner of the messages of a connection.
func newScanner(conn net.Conn) *bufio.Scanner {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 4096), maxMessage+2)
	scanner.Split(scanMessages)
	return scanner
}

// backend is the state of one connection to a member.
type backend struct {
	member   *member
	settings map[string]string
	prepared map[string]string
	// mode is 0 outside a transaction, 'W' in a plain one, 'R' in a read-only one.
	mode   byte
	failed bool
	ran    bool
	ids    []string
	writes map[string]string
}

func (member *member) serve(conn net.Conn) {
	scanner := newScanner(conn)
	if !scanner.Scan() {
		return
	}
	fields := strings.Fields(scanner.Text())
	if len(fields) < 3 || fields[0] != "START" {
		_, _ = conn.Write([]byte("ERR MALFORMED start\r\n"))
		return
	}
	if fields[1] != member.service.name || len(fields) > 3 && fields[3] != member.id {
		_, _ = conn.Write([]byte("ERR MISROUTED " + member.id + "\r\n"))
		return
	}
	if member.occupy(handshakeTime) {
		member.release()
	}
	backend := &backend{member: member, settings: map[string]string{}, prepared: map[string]string{}}
	member.service.mutex.Lock()
	hello := "READY I " + member.position() + "\r\n"
	member.service.mutex.Unlock()
	if _, err := conn.Write([]byte(hello)); err != nil {
		return
	}
	for scanner.Scan() {
		reply := backend.handle(scanner.Text())
		if reply == "" {
			return
		}
		if _, err := conn.Write([]byte(reply)); err != nil {
			return
		}
	}
}

// occupy takes a slot and keeps it busy for a time; false if the queue is full.
func (member *member) occupy(work time.Duration) bool {
	member.service.mutex.Lock()
	if member.waiting >= memberQueue {
		member.service.mutex.Unlock()
		return false
	}
	member.waiting++
	member.service.mutex.Unlock()
	member.slots <- struct{}{}
	member.service.mutex.Lock()
	member.waiting--
	member.service.mutex.Unlock()
	time.Sleep(work)
	return true
}

func (member *member) release() { <-member.slots }

// position returns the end of the member's log; the mutex is held.
func (member *member) position() string {
	if len(member.log) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", member.log[len(member.log)-1].term, len(member.log))
}

// holds reports whether the log has a position; the mutex is held.
func (member *member) holds(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.Atoi(numberText)
	return number == 0 || number <= len(member.log) && member.log[number-1].term >= term
}

func (backend *backend) ready() string {
	state := "I"
	if backend.mode != 0 {
		state = "T"
	}
	if backend.failed {
		state = "E"
	}
	return "READY " + state + " " + backend.member.position() + "\r\n"
}

func (backend *backend) fail(code string) string {
	backend.failed = backend.mode != 0
	return "ERR " + code + " " + backend.member.id + "\r\n" + backend.ready()
}

func (backend *backend) done(signature string) string {
	return "DONE " + signature + "\r\n" + backend.ready()
}

func (backend *backend) end() {
	backend.mode, backend.failed, backend.ran, backend.ids, backend.writes = 0, false, false, nil, nil
}

// handle runs one message and returns the reply, empty to close the connection.
func (backend *backend) handle(message string) string {
	arrivedAt := time.Now()
	word, rest, _ := strings.Cut(message, " ")
	id, text, _ := strings.Cut(rest, " ")
	if word != "QUERY" || text == "" {
		return ""
	}
	member, service := backend.member, backend.member.service
	statement, after := text, ""
	if tail, found := strings.CutPrefix(text, "AFTER "); found {
		after, statement, _ = strings.Cut(tail, " ")
	}
	verb, operands, _ := strings.Cut(statement, " ")
	occupies := verb == "READ" || verb == "WRITE" || verb == "EXEC" || verb == "COMMIT" || verb == "STATUS"
	if occupies {
		work := statementTime
		if verb == "STATUS" {
			work = 0
		}
		if !member.occupy(work) {
			service.mutex.Lock()
			defer service.mutex.Unlock()
			return "ERR BUSY " + member.id + "\r\n" + backend.ready()
		}
		defer member.release()
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	isPrimary := service.primary == member
	if after != "" && !member.holds(after) {
		return backend.fail("LAGGING")
	}
	if backend.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return backend.fail("MALFORMED")
	}
	wroteNothing := verb == "COMMIT" && len(backend.writes) == 0
	if backend.mode == 'W' && !isPrimary && verb != "ROLLBACK" && !wroteNothing {
		return backend.fail("READONLY")
	}
	if id != "-" && occupies {
		service.runs = append(service.runs, run{
			at: arrivedAt, member: member.id, id: id, text: statement, inTx: backend.mode != 0, opener: backend.mode == 0 || !backend.ran,
		})
		backend.ran = true
	}
	switch verb {
	case "BEGIN":
		if operands != "READ" && !isPrimary {
			return backend.fail("READONLY")
		}
		backend.mode = 'W'
		if operands == "READ" {
			backend.mode = 'R'
		}
		return backend.done("-")
	case "ROLLBACK":
		backend.end()
		return backend.done("-")
	case "SET":
		name, value, _ := strings.Cut(operands, " ")
		backend.settings[name] = value
		return backend.done("-")
	case "RESET":
		clear(backend.settings)
		clear(backend.prepared)
		return backend.done("-")
	case "PREPARE":
		name, shape, _ := strings.Cut(operands, " ")
		backend.prepared[name] = shape
		return backend.done("-")
	case "STATUS":
		role := "replica"
		if isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s 0 0 %d %d\r\n", role, service.term, member.position(), len(member.slots), len(member.conns)) + backend.done("-")
	case "COMMIT":
		ids, writes := backend.ids, backend.writes
		failed := backend.failed
		backend.end()
		if failed {
			return backend.fail("ABORTED")
		}
		return backend.commit(id, ids, writes)
	}
	if verb == "EXEC" {
		name, arguments, _ := strings.Cut(operands, " ")
		shape, found := backend.prepared[name]
		if !found {
			return backend.fail("NOSTMT")
		}
		verb, _, _ = strings.Cut(shape, " ")
		operands = arguments
	}
	name, data, _ := strings.Cut(operands, " ")
	switch verb {
	case "READ":
		return "ROW " + member.value(name) + "\r\n" + backend.done("sig."+id+"."+member.id)
	case "WRITE":
		if !isPrimary || backend.mode == 'R' {
			return backend.fail("READONLY")
		}
		if backend.mode == 0 {
			return backend.commit(id, []string{id}, map[string]string{name: data})
		}
		if backend.writes == nil {
			backend.writes = map[string]string{}
		}
		backend.writes[name] = data
		backend.ids = append(backend.ids, id)
		return backend.done("sig." + id + "." + member.id)
	default:
		return backend.fail("MALFORMED")
	}
}

// value returns the last value of an item; the mutex is held.
func (member *member) value(name string) string {
	for i := len(member.log) - 1; i >= 0; i-- {
		if value, found := member.log[i].items[name]; found {
			return value
		}
	}
	return ""
}

// commit appends writes to the primary's log, sends them to the replicas and waits
// until as many as required have received them. The mutex is held, except while it
// waits.
func (backend *backend) commit(id string, ids []string, writes map[string]string) string {
	member, service := backend.member, backend.member.service
	signature := "sig." + id + "." + member.id
	if len(writes) == 0 {
		return backend.done(signature)
	}
	added := &entry{term: service.term, ids: ids, items: writes}
	number := len(member.log)
	member.log = append(member.log, added)
	received := make(chan struct{}, len(service.members))
	for _, replica := range service.members {
		if replica == member {
			continue
		}
		delay := inZoneDelay + rand.N(crossZoneDelay-inZoneDelay)
		term := service.term
		go service.replicate(member, replica, number, term, delay, received)
	}
	if service.syncReplicas > 0 {
		service.mutex.Unlock()
		confirmed := false
		select {
		case <-received:
			confirmed = true
		case <-time.After(2 * time.Second):
		}
		service.mutex.Lock()
		if !confirmed || service.primary != member {
			return "ERR UNKNOWN " + member.id + "\r\n" + backend.ready()
		}
	}
	added.acked = true
	return backend.done(signature)
}

// replicate delivers an entry to a replica after the network's delay. Entries arrive
// in the order of their numbers.
func (service *service) replicate(from, replica *member, number int, term uint64, delay time.Duration, received chan<- struct{}) {
	time.Sleep(delay)
	for {
		service.mutex.Lock()
		if service.primary != from || service.term != term || replica.gone || from.gone {
			service.mutex.Unlock()
			return
		}
		if len(replica.log) == number && time.Now().After(replica.deafUntil) {
			replica.log = append(replica.log, from.log[number])
		}
		done := len(replica.log) > number
		service.mutex.Unlock()
		if done {
			received <- struct{}{}
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
}

// servePromote is the platform's promotion endpoint for all services.
func servePromote(services []*service) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body struct {
			Service string `json:"backend"`
			Member  string `json:"id"`
		}
		token, err := strconv.ParseInt(request.Header.Get("Ebonywood-Fencing-Token"), 10, 64)
		if json.NewDecoder(request.Body).Decode(&body) != nil || err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, service := range services {
			if service.name == body.Service {
				status := service.promote(body.Member, token)
				service.record.line("order promote service=%s member=%s token=%d holder=%s -> %d", body.Service, body.Member, token, request.Header.Get("Ebonywood-Duty-Holder"), status)
				writer.WriteHeader(status)
				return
			}
		}
		writer.WriteHeader(http.StatusConflict)
	}
}

// promote orders a promotion, which takes effect after promoteTime, and returns the
// status of the response.
func (service *service) promote(id string, token int64) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.orders++
	if time.Now().Before(service.refusePromotions) {
		return http.StatusServiceUnavailable
	}
	if token < service.fence {
		return http.StatusConflict
	}
	var chosen *member
	for _, candidate := range service.members {
		if candidate.id == id && !candidate.gone {
			chosen = candidate
		}
	}
	if chosen == nil {
		return http.StatusConflict
	}
	service.fence = token
	if chosen == service.primary {
		return http.StatusOK
	}
	time.AfterFunc(promoteTime, func() { service.lead(chosen) })
	return http.StatusOK
}

// lead makes a member the primary of the next term with what it has received.
func (service *service) lead(chosen *member) {
	service.mutex.Lock()
	previous := service.primary
	if chosen.gone || previous == chosen {
		service.mutex.Unlock()
		return
	}
	effect := promotion{at: time.Now(), member: chosen.id, term: service.term + 1, received: len(chosen.log)}
	for number := len(chosen.log); number < len(previous.log); number++ {
		if previous.log[number].acked {
			effect.lost = append(effect.lost, previous.log[number].ids...)
		}
	}
	service.term++
	service.primary = chosen
	for _, member := range service.members {
		if len(member.log) > len(chosen.log) {
			member.log = member.log[:len(chosen.log):len(chosen.log)]
		}
		// Replicas catch up with the new primary at once.
		if member != chosen && len(member.log) < len(chosen.log) {
			member.log = append([]*entry(nil), chosen.log...)
		}
	}
	service.promoted = append(service.promoted, effect)
	service.mutex.Unlock()
	service.record.line("promotion takes effect service=%s member=%s term=%d received=%d acknowledged-and-lost=%d", service.name, chosen.id, effect.term, effect.received, len(effect.lost))
	chosen.publish()
	previous.publish()
}
