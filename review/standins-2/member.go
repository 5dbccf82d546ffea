package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots          = 3
	maxConnections = 22
	maxQueued      = 24
	replicaLag     = 20 * time.Millisecond
	promoteDelay   = 300 * time.Millisecond
	handshakeTime  = 12 * time.Millisecond
	statementTime  = 3 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond
)

// logEntry is one commit. number is unique over all logs.
type logEntry struct {
	number      int64
	term        uint64
	committedAt time.Time
	writeIDs    []string
	items       map[string]string
}

// run is one run of a client's statement on a member.
type run struct {
	at       time.Time
	id       string
	text     string
	member   string
	conn     int64
	tx       int64 // 0 outside a transaction
	settings map[string]string
	outcome  string
	service  *Service
	log      []logEntry // what the statement ran on
}

// World is everything that the stand-ins share: the services, the members and what they
// ran. Its mutex guards all of it.
type World struct {
	mutex       sync.Mutex
	store       *Store
	host        string
	services    map[string]*Service
	members     []*Member
	runs        []run
	ownRequests []string // requests without a client's id at members of watched services
	promotions  []string
	// late are the delays after which the next orders for lateService are carried out, which
	// get no answer. onLate is called with each of them.
	lateService string
	late        []time.Duration
	onLate      func(number int, member *Member)
	orders      int
	tokens      map[string]int64
	rolledBack  map[string]bool
	record      *Recorder
}

// Service is a primary with its replicas, and their log.
type Service struct {
	name    string
	term    uint64
	primary string
	log     []logEntry
	// observed makes every request at the members count, those of the proxies too.
	observed bool
}

// Member is one database server.
type Member struct {
	world    *World
	service  *Service
	id       string
	zone     string
	listener net.Listener
	born     int64
	sequence int64
	state    string
	crashed  bool
	conns    map[net.Conn]bool
	busy     chan struct{}
	queued   atomic.Int64
	// greyShare is the share of its requests that the member refuses with BUSY, without
	// running them; 0 while it is sound.
	greyShare float64
	refused   map[string]int
	// deaf says that the member receives nothing; own is its log then.
	deaf bool
	own  []logEntry
}

// NewWorld returns a world without services.
func NewWorld(store *Store, host string, record *Recorder) *World {
	return &World{
		store: store, host: host, services: map[string]*Service{}, tokens: map[string]int64{},
		rolledBack: map[string]bool{}, record: record,
	}
}

// AddService starts a service of three members in the zones; the first is the primary.
func (world *World) AddService(name string, zones []string) *Service {
	service := &Service{name: name, term: 3}
	world.services[name] = service
	for _, zone := range zones {
		world.AddMember(service, fmt.Sprintf("i-%010x", rand.Uint64()&0xffffffffff), zone, true)
	}
	return service
}

// AddMember starts a member. With registered, it keeps an entry in the store.
func (world *World) AddMember(service *Service, id, zone string, registered bool) *Member {
	listener, err := net.Listen("tcp4", world.host+":0")
	if err != nil {
		fail("no port for a member: %v", err)
	}
	member := &Member{
		world: world, service: service, id: id, zone: zone, listener: listener, born: time.Now().UnixMilli(),
		state: "ready", conns: map[net.Conn]bool{}, busy: make(chan struct{}, slots), refused: map[string]int{},
	}
	world.mutex.Lock()
	if service.primary == "" {
		service.primary = id
	}
	world.members = append(world.members, member)
	world.mutex.Unlock()
	go member.accept()
	if registered {
		member.Publish()
		go func() {
			for range time.Tick(heartbeat) {
				member.Publish()
			}
		}()
	}
	return member
}

// Publish writes the member's entry.
func (member *Member) Publish() {
	member.world.mutex.Lock()
	defer member.world.mutex.Unlock()
	if member.crashed {
		return
	}
	member.sequence++
	role := "replica"
	if member.service.primary == member.id {
		role = "primary"
	}
	value, _ := json.Marshal(map[string]any{
		"backend": member.service.name, "address": member.Address(), "zone": member.zone, "version": "v1",
		"capacity": slots, "state": member.state, "cold-remaining-ms": 0, "db-role": role, "sequence": member.sequence,
		"born": member.born,
	})
	member.world.store.Put("servers/"+member.id, value)
}

// Address is where the member listens.
func (member *Member) Address() string { return member.listener.Addr().String() }

// Primary returns the primary of a service.
func (world *World) Primary(service *Service) *Member {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, member := range world.members {
		if member.id == service.primary {
			return member
		}
	}
	return nil
}

// SetGrey makes the member refuse a share of its requests.
func (member *Member) SetGrey(share float64) {
	member.world.mutex.Lock()
	defer member.world.mutex.Unlock()
	member.greyShare = share
}

func (member *Member) accept() {
	for {
		socket, err := member.listener.Accept()
		if err != nil {
			return
		}
		go member.serve(socket)
	}
}

var lastConn, lastTx, lastCommit atomic.Int64

// session is one connection to a member.
type session struct {
	member   *Member
	conn     int64
	settings map[string]string
	prepared map[string]string
	mode     byte // 0 outside a transaction, 'W' or 'R' in one
	failed   bool
	tx       int64
	writes   []string
	items    map[string]string
}

func (member *Member) serve(socket net.Conn) {
	defer socket.Close()
	world := member.world
	world.mutex.Lock()
	if member.crashed {
		world.mutex.Unlock()
		return
	}
	member.conns[socket] = true
	tooMany := len(member.conns) > maxConnections
	world.mutex.Unlock()
	defer func() {
		world.mutex.Lock()
		delete(member.conns, socket)
		world.mutex.Unlock()
	}()
	reader := bufio.NewReaderSize(socket, 1<<16)
	first, err := readLine(reader)
	if err != nil {
		return
	}
	fields := strings.Fields(first)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != member.service.name || len(fields) > 3 && fields[3] != member.id {
		fmt.Fprintf(socket, "ERR MISROUTED %s\r\n", member.id)
		return
	}
	if tooMany {
		fmt.Fprintf(socket, "ERR MAXCONN %s\r\n", member.id)
		return
	}
	member.busy <- struct{}{}
	time.Sleep(handshakeTime)
	<-member.busy
	session := &session{member: member, conn: lastConn.Add(1), settings: map[string]string{}, prepared: map[string]string{}}
	world.mutex.Lock()
	position := member.position()
	world.mutex.Unlock()
	if _, err := fmt.Fprintf(socket, "READY I %s\r\n", position); err != nil {
		return
	}
	for {
		text, err := readLine(reader)
		if err != nil || !strings.HasPrefix(text, "QUERY ") {
			return
		}
		if _, err := socket.Write([]byte(session.handle(strings.TrimPrefix(text, "QUERY ")))); err != nil {
			return
		}
	}
}

// readLine returns the next line without its CR LF.
func readLine(reader *bufio.Reader) (string, error) {
	text := ""
	for !strings.HasSuffix(text, "\r\n") {
		chunk, err := reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		text += chunk
	}
	return strings.TrimSuffix(text, "\r\n"), nil
}

// log returns what the member holds of its service's log; the mutex is held.
func (member *Member) log() []logEntry {
	log := member.service.log
	switch {
	case member.service.primary == member.id:
		return log
	case member.deaf:
		return member.own
	}
	count := len(log)
	for count > 0 && time.Since(log[count-1].committedAt) < replicaLag {
		count--
	}
	return log[:count]
}

// SetDeaf makes the member receive nothing, or again; the mutex is held. A member that
// receives again is rolled back to what its service's log shares with its own.
func (member *Member) SetDeaf(deaf bool) {
	if deaf && !member.deaf {
		member.own = slices.Clone(member.log())
	}
	member.deaf = deaf
}

func (member *Member) position() string {
	log := member.log()
	if len(log) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", log[len(log)-1].term, len(log))
}

func (member *Member) holds(position string) bool {
	termText, countText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	count, _ := strconv.Atoi(countText)
	log := member.log()
	return count > 0 && count <= len(log) && log[count-1].term == term
}

func (session *session) state() string {
	switch {
	case session.mode == 0:
		return "I"
	case session.failed:
		return "E"
	default:
		return "T"
	}
}

func (session *session) ready() string {
	return "READY " + session.state() + " " + session.member.position() + "\r\n"
}

// handle answers one request: an id and a text.
func (session *session) handle(request string) string {
	member, world := session.member, session.member.world
	id, text, _ := strings.Cut(request, " ")
	body := text
	floor := ""
	if rest, found := strings.CutPrefix(body, "AFTER "); found {
		floor, body, _ = strings.Cut(rest, " ")
	}
	verb, operands, _ := strings.Cut(body, " ")
	world.mutex.Lock()
	if member.service.observed {
		world.ownRequests = append(world.ownRequests, fmt.Sprintf("%s %s %s", member.service.name, member.id, request))
		world.record.Add("member %s of service %s gets: QUERY %s", member.id, member.service.name, request)
	}
	if member.greyShare > 0 && rand.Float64() < member.greyShare {
		member.refused[verb]++
		reply := "ERR BUSY " + member.id + "\r\n" + session.ready()
		world.record.Add("grey member %s conn %d refuses: QUERY %s -> BUSY, READY %s", member.id, session.conn, request, session.state())
		world.mutex.Unlock()
		return reply
	}
	world.mutex.Unlock()
	if verb == "READ" || verb == "WRITE" || verb == "COMMIT" || verb == "EXEC" {
		if member.queued.Add(1) > maxQueued {
			member.queued.Add(-1)
			return session.locked(func() string { return "ERR BUSY " + member.id + "\r\n" + session.ready() })
		}
		member.busy <- struct{}{}
		member.queued.Add(-1)
		time.Sleep(statementTime)
		defer func() { <-member.busy }()
	}
	return session.locked(func() string { return session.perform(id, floor, verb, operands, text) })
}

func (session *session) locked(work func() string) string {
	session.member.world.mutex.Lock()
	defer session.member.world.mutex.Unlock()
	return work()
}

func (session *session) fail(code string) string {
	if session.mode != 0 {
		session.failed = true
	}
	return "ERR " + code + " " + session.member.id + "\r\n" + session.ready()
}

func (session *session) done(signature string) string {
	return "DONE " + signature + "\r\n" + session.ready()
}

// perform runs a request; the world's mutex is held.
func (session *session) perform(id, floor, verb, operands, text string) string {
	member := session.member
	isPrimary := member.service.primary == member.id
	if session.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return session.fail("MALFORMED")
	}
	lostLead := session.mode == 'W' && !isPrimary
	if lostLead && verb != "ROLLBACK" && !(verb == "COMMIT" && len(session.writes) == 0) {
		return session.fail("READONLY")
	}
	if floor != "" && !member.holds(floor) {
		return session.fail("LAGGING")
	}
	switch verb {
	case "BEGIN":
		if session.mode != 0 {
			// A transaction is open: nothing is run and it stays open.
			return "ERR MALFORMED a transaction is open\r\n" + session.ready()
		}
		if operands != "READ" && !isPrimary {
			return session.fail("READONLY")
		}
		session.mode, session.tx = 'W', lastTx.Add(1)
		if operands == "READ" {
			session.mode = 'R'
		}
		session.items = map[string]string{}
		return session.done("-")
	case "ROLLBACK":
		session.end()
		return session.done("-")
	case "SET":
		name, value, _ := strings.Cut(operands, " ")
		session.settings[name] = value
		return session.done("-")
	case "RESET":
		clear(session.settings)
		clear(session.prepared)
		return session.done("-")
	case "PREPARE":
		name, definition, _ := strings.Cut(operands, " ")
		session.prepared[name] = definition
		return session.done("-")
	case "DEALLOCATE":
		delete(session.prepared, operands)
		return session.done("-")
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		role := "replica"
		if isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s %d %d 0 %d\r\n", role, member.service.term, member.position(), 0, 0, len(member.conns)) + session.done("-")
	case "COMMIT":
		if session.mode == 0 {
			return session.fail("MALFORMED")
		}
		session.note(id, text, "commit")
		if !session.failed && len(session.writes) > 0 {
			session.append(session.writes, session.items)
		}
		session.end()
		return session.done(signature())
	case "READ":
		return session.read(id, operands, text)
	case "WRITE":
		return session.write(id, operands, text)
	case "EXEC":
		name, arguments, _ := strings.Cut(operands, " ")
		definition, found := session.prepared[name]
		if !found {
			return session.fail("NOSTMT")
		}
		if strings.HasPrefix(definition, "WRITE") {
			return session.write(id, arguments, text)
		}
		return session.read(id, arguments, text)
	default:
		return session.fail("MALFORMED")
	}
}

func signature() string { return fmt.Sprintf("7.%x", rand.Uint64()) }

func (session *session) end() {
	session.mode, session.failed, session.tx, session.writes, session.items = 0, false, 0, nil, nil
}

// note records a run of a client's statement.
func (session *session) note(id, text, outcome string) {
	if id == "-" {
		return
	}
	member := session.member
	member.world.runs = append(member.world.runs, run{
		at: time.Now(), id: id, text: text, member: member.id, conn: session.conn, tx: session.tx,
		settings: maps.Clone(session.settings), outcome: outcome, service: member.service, log: member.log(),
	})
	member.world.record.Add("member %s conn %d tx %d runs: QUERY %s %s", member.id, session.conn, session.tx, id, text)
}

func (session *session) append(ids []string, items map[string]string) {
	service := session.member.service
	service.log = append(service.log, logEntry{number: lastCommit.Add(1), term: service.term, committedAt: time.Now(), writeIDs: ids, items: items})
}

func (session *session) read(id, name, text string) string {
	session.note(id, text, "read")
	value := "none"
	for _, entry := range session.member.log() {
		if stored, found := entry.items[name]; found {
			value = stored
		}
	}
	if stored, found := session.items[name]; found {
		value = stored
	}
	return "ROW " + value + "\r\n" + session.done(signature())
}

func (session *session) write(id, operands, text string) string {
	if session.member.service.primary != session.member.id || session.mode == 'R' {
		return session.fail("READONLY")
	}
	session.note(id, text, "write")
	name, data, _ := strings.Cut(operands, " ")
	if session.mode == 'W' {
		session.writes = append(session.writes, id)
		session.items[name] = data
	} else {
		session.append([]string{id}, map[string]string{name: data})
	}
	return session.done(signature())
}

// Promote handles POST /promote.
func (world *World) Promote(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Service string `json:"backend"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseInt(request.Header.Get("Ebonywood-Fencing-Token"), 10, 64)
	if json.NewDecoder(request.Body).Decode(&body) != nil || err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	order := fmt.Sprintf("%s %s token %d holder %s", body.Service, body.ID, token, request.Header.Get("Ebonywood-Duty-Holder"))
	if delay, isLate := world.takeLate(body.Service, body.ID); isLate {
		world.record.Say("the platform gets POST /promote %s: no answer, carried out %d ms later", order, delay.Milliseconds())
		time.AfterFunc(delay, func() { world.perform(body.Service, body.ID, order, token) })
		<-request.Context().Done()
		return
	}
	if !world.perform(body.Service, body.ID, order, token) {
		writer.WriteHeader(http.StatusConflict)
	}
}

// takeLate returns the delay of an order that is to get no answer, and whether it is one.
func (world *World) takeLate(service, id string) (delay time.Duration, isLate bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if service != world.lateService || world.orders >= len(world.late) {
		return 0, false
	}
	world.orders++
	for _, member := range world.members {
		if member.id == id && world.onLate != nil {
			world.onLate(world.orders, member)
		}
	}
	return world.late[world.orders-1], true
}

// perform carries an order out, and reports whether its token and its member allow it.
func (world *World) perform(name, id, order string, token int64) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	service, known := world.services[name]
	var member *Member
	for _, candidate := range world.members {
		if known && candidate.service == service && candidate.id == id && !candidate.crashed {
			member = candidate
		}
	}
	if member == nil || token < world.tokens[name] {
		world.promotions = append(world.promotions, order+" refused")
		world.record.Add("the platform refuses POST /promote %s", order)
		return false
	}
	world.tokens[name] = token
	world.promotions = append(world.promotions, order)
	world.record.Add("the platform carries out POST /promote %s", order)
	if service.primary != member.id {
		time.AfterFunc(promoteDelay, func() { world.lead(service, member) })
	}
	return true
}

// lead makes a member the primary of the next term with what it has received.
func (world *World) lead(service *Service, member *Member) {
	world.mutex.Lock()
	kept := slices.Clone(member.log())
	inForce := map[string]bool{}
	for _, entry := range kept {
		for _, id := range entry.writeIDs {
			inForce[id] = true
			if world.rolledBack[id] {
				world.record.Add("the write %s, which was rolled back, is in force again", id)
				delete(world.rolledBack, id)
			}
		}
	}
	for _, entry := range service.log {
		for _, id := range entry.writeIDs {
			if !inForce[id] {
				world.rolledBack[id] = true
			}
		}
	}
	member.deaf, member.own = false, nil
	world.record.Say("member %s leads service %s with %d commits, after %s with %d", member.id, service.name, len(kept), service.primary, len(service.log))
	service.log = kept
	service.term++
	service.primary = member.id
	world.record.Add("member %s leads service %s in term %d", member.id, service.name, service.term)
	members := world.members
	world.mutex.Unlock()
	for _, other := range members {
		if other.service == service && other.sequence > 0 {
			other.Publish()
		}
	}
}
