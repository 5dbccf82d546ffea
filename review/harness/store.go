package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keys with revisions,
// leases and watches over HTTP.
type store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	// addedAt holds the time of each event; older ones than history are discarded, up to
	// the revision discarded.
	addedAt   []time.Time
	discarded int64
	changed   chan struct{}
	leases    map[int64]*lease
	server    *http.Server
	address   string
	// Connections that were opened before silentBefore are silent.
	silentBefore time.Time
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// openedAt is the key of the time at which a request's connection was opened.
type openedAt struct{}

// silence makes all open connections go silent: nothing that is sent on them arrives any
// more. New connections work.
func (store *store) silence() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.silentBefore = time.Now()
}

// isSilent reports whether a request's connection has gone silent.
func (store *store) isSilent(ctx context.Context) bool {
	opened, _ := ctx.Value(openedAt{}).(time.Time)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return opened.Before(store.silentBefore)
}

// history is how long the store keeps its history.
const history = 20 * time.Second

// storeLatency is the time after which the store answers a call.
const storeLatency = 4 * time.Millisecond

func newStore() *store {
	store := &store{items: map[string]item{}, changed: make(chan struct{}), leases: map[int64]*lease{}, revision: 100}
	mux := http.NewServeMux()
	for pattern, handle := range map[string]http.HandlerFunc{
		"GET /kv-key": store.serveKey, "GET /kv-range": store.serveRange, "GET /kv-watch": store.serveWatch,
		"POST /kv-txn": store.serveTxn, "POST /kv-lease": store.serveGrant,
		"POST /kv-keep/{id}": store.serveKeep, "DELETE /kv-lease-end/{id}": store.serveEnd,
	} {
		mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(storeLatency)
			if store.isSilent(request.Context()) {
				<-request.Context().Done()
				return
			}
			handle(writer, request)
		})
	}
	listener := listen("127.0.0.1:0")
	store.address = listener.Addr().String()
	store.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedAt{}, time.Now())
	}}
	go func() { _ = store.server.Serve(listener) }()
	return store
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		cannotRun("listen at " + address + ": " + err.Error())
	}
	return listener
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	for len(text) > 0 {
		chunk := text[:min(len(text), linkChunk)]
		text = text[len(chunk):]
		storeLink.pass(len(chunk))
		if _, err := writer.Write(chunk); err != nil {
			return
		}
	}
}

// storeLink is the link of the store, which its answers share.
var storeLink link

const (
	linkChunk = 64 << 10
	// linkBytesPerSecond is 1,000 Mbit/s.
	linkBytesPerSecond = 125_000_000
)

// link limits the bytes that pass in a second.
type link struct {
	mutex sync.Mutex
	free  time.Time
}

// pass waits until the link has sent a number of bytes.
func (link *link) pass(size int) {
	link.mutex.Lock()
	if now := time.Now(); link.free.Before(now) {
		link.free = now
	}
	link.free = link.free.Add(time.Duration(size) * time.Second / linkBytesPerSecond)
	wait := time.Until(link.free)
	link.mutex.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// put writes a key, as the operator or a member does, and returns the size of the value.
func (store *store) put(key string, value any) int {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.putLocked(key, text, 0)
	return len(text)
}

func (store *store) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.removeLocked(key)
}

func (store *store) putLocked(key string, value []byte, lease int64) {
	store.revision++
	created := store.items[key].Created
	if created == 0 {
		created = store.revision
	}
	stored := item{Key: key, Value: value, Revision: store.revision, Created: created, Lease: lease}
	store.items[key] = stored
	store.addEvent(stored)
}

func (store *store) removeLocked(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	store.revision++
	delete(store.items, key)
	store.addEvent(item{Key: key, Revision: store.revision, Deleted: true})
}

func (store *store) addEvent(event item) {
	store.events = append(store.events, event)
	store.addedAt = append(store.addedAt, time.Now())
	close(store.changed)
	store.changed = make(chan struct{})
}

// discardHistory drops the events that are older than history; the mutex is held.
func (store *store) discardHistory() {
	for len(store.events) > 0 && time.Since(store.addedAt[0]) > history {
		store.discarded = store.events[0].Revision
		store.events, store.addedAt = store.events[1:], store.addedAt[1:]
	}
}

func (store *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.items[request.FormValue("key")]
	if !ok {
		writeJSON(writer, http.StatusNotFound, map[string]any{"at": store.revision})
		return
	}
	writeJSON(writer, http.StatusOK, found)
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []item{}
	for key, item := range store.items {
		if strings.HasPrefix(key, request.FormValue("prefix")) && key > request.FormValue("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "has-more": false, "at": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseInt(request.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		store.discardHistory()
		events := []item{}
		for _, event := range store.events {
			if event.Revision > after && strings.HasPrefix(event.Key, request.FormValue("prefix")) {
				events = append(events, event)
			}
		}
		discarded := after < store.discarded
		changed, revision := store.changed, store.revision
		store.mutex.Unlock()
		if store.isSilent(request.Context()) {
			<-request.Context().Done()
			return
		}
		if discarded {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (store *store) serveTxn(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Expect []item   `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, expected := range body.Expect {
		if store.items[expected.Key].Revision != expected.Revision {
			writeJSON(writer, http.StatusPreconditionFailed, map[string]any{"items": []item{store.items[expected.Key]}})
			return
		}
	}
	for _, put := range body.Puts {
		if _, found := store.leases[put.Lease]; put.Lease != 0 && !found {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range body.Puts {
		store.putLocked(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Remove {
		store.removeLocked(key)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	id, ttl := store.revision, time.Duration(body.TTL)*time.Millisecond
	store.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { store.endLease(id) })}
	writeJSON(writer, http.StatusOK, map[string]any{"lease": id, "ttl-ms": body.TTL})
}

func (store *store) endLease(id int64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	ended, found := store.leases[id]
	if !found {
		return
	}
	ended.timer.Stop()
	delete(store.leases, id)
	for key, item := range store.items {
		if item.Lease == id {
			store.removeLocked(key)
		}
	}
}

func (store *store) serveKeep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kept, found := store.leases[id]
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	kept.timer.Reset(kept.ttl)
	writeJSON(writer, http.StatusOK, map[string]any{"lease": id, "ttl-ms": kept.ttl.Milliseconds()})
}

func (store *store) serveEnd(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.endLease(id)
	writeJSON(writer, http.StatusOK, map[string]any{})
}
