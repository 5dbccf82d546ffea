package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Store is a stand-in for the platform's metadata store. It answers at once and
// loses nothing.
type Store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), revision: 100}
}

// Serve serves the store at the listener.
func (store *Store) Serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", store.serveKey)
	mux.HandleFunc("GET /kv-range", store.serveRange)
	mux.HandleFunc("GET /kv-watch", store.serveWatch)
	mux.HandleFunc("POST /kv-txn", store.serveTxn)
	mux.HandleFunc("POST /kv-lease", store.serveGrant)
	mux.HandleFunc("POST /kv-keep/{id}", store.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", store.serveEnd)
	go func() { _ = http.Serve(listener, mux) }()
}

// Put writes a key as the operator, a member or another writer does.
func (store *Store) Put(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.put(key, value, 0)
}

// Remove deletes a key.
func (store *Store) Remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.remove(key)
}

func (store *Store) put(key string, value []byte, leaseID int64) {
	store.revision++
	created := store.revision
	if old, found := store.items[key]; found {
		created = old.Created
	}
	stored := item{Key: key, Value: value, Revision: store.revision, Created: created, Lease: leaseID}
	store.items[key] = stored
	store.addEvent(stored)
}

func (store *Store) remove(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	store.revision++
	delete(store.items, key)
	store.addEvent(item{Key: key, Revision: store.revision, Deleted: true})
}

func (store *Store) addEvent(event item) {
	store.events = append(store.events, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *Store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.items[request.FormValue("key")]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, found)
}

const pageSize = 500

func (store *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []item{}
	for key, found := range store.items {
		if strings.HasPrefix(key, request.FormValue("prefix")) && key > request.FormValue("after") {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(writer, map[string]any{"items": items, "has-more": more, "at": store.revision})
}

func (store *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseInt(request.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		events := []item{}
		for _, event := range store.events {
			if event.Revision > after && strings.HasPrefix(event.Key, request.FormValue("prefix")) {
				events = append(events, event)
			}
		}
		at, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(writer, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(writer, map[string]any{"events": events, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) serveTxn(writer http.ResponseWriter, request *http.Request) {
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
			writer.WriteHeader(http.StatusPreconditionFailed)
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
		store.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Remove {
		store.remove(key)
	}
	writeJSON(writer, map[string]any{"revision": store.revision})
}

func (store *Store) serveGrant(writer http.ResponseWriter, request *http.Request) {
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
	writeJSON(writer, map[string]any{"lease": id, "ttl-ms": body.TTL})
}

func (store *Store) endLease(id int64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	ended, found := store.leases[id]
	if !found {
		return
	}
	ended.timer.Stop()
	delete(store.leases, id)
	for key, held := range store.items {
		if held.Lease == id {
			store.remove(key)
		}
	}
}

func (store *Store) serveKeep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	held, found := store.leases[id]
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	held.timer.Reset(held.ttl)
	writeJSON(writer, map[string]any{"lease": id, "ttl-ms": held.ttl.Milliseconds()})
}

func (store *Store) serveEnd(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.endLease(id)
	writeJSON(writer, map[string]any{})
}
