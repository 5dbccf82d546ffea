// Package kvserver implements a stand-in for the platform's key-value service. It
// serves the part of the etcd v3 HTTP/JSON interface that the proxy uses (range,
// transactions with comparisons, leases, watches) from memory, and can simulate
// the failures of such a service.
package kvserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/ebonywood/ebonywood"
)

// Rate limits of the production key-value service, in calls per second; the burst is
// one second's worth.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// Server is an in-memory key-value service with fault injection.
type Server struct {
	mutex       sync.Mutex
	revision    int64
	entries     map[string]entry
	leases      map[int64]lease
	lastLeaseID int64
	// changed is closed and replaced when watches must check for an event.
	changed chan struct{}

	writeLimiter    *rate.Limiter
	readLimiter     *rate.Limiter
	calls           atomic.Int64
	openWatches     atomic.Int64
	down            atomic.Bool
	delay           atomic.Int64 // nanoseconds
	responsesToDrop atomic.Int64
	refusedClients  sync.Map // indexed by User-Agent

	listener net.Listener
}

type entry struct {
	value    []byte
	revision int64
	lease    int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty service.
func New() *Server {
	return &Server{
		entries: map[string]entry{}, leases: map[int64]lease{}, changed: make(chan struct{}),
		writeLimiter: rate.NewLimiter(writesPerSecond, writesPerSecond),
		readLimiter:  rate.NewLimiter(readsPerSecond, readsPerSecond),
	}
}

// SetDown makes every call fail with status 503 and ends the open watches.
func (server *Server) SetDown(down bool) {
	server.down.Store(down)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.wakeWatches()
}

// SetDelay delays the processing of every call.
func (server *Server) SetDelay(delay time.Duration) { server.delay.Store(int64(delay)) }

// DropReplies closes the connection instead of sending the response of the next n
// transactions that succeed. The transactions take effect.
func (server *Server) DropReplies(n int) { server.responsesToDrop.Store(int64(n)) }

// SetClientRefused refuses the calls of the client with the given User-Agent with
// status 503 and ends its watches, until it is called with false.
func (server *Server) SetClientRefused(client string, refused bool) {
	if refused {
		server.refusedClients.Store(client, true)
	} else {
		server.refusedClients.Delete(client)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.wakeWatches()
}

// Calls returns the number of calls so far; a watch counts as one.
func (server *Server) Calls() int64 { return server.calls.Load() }

// Watches returns the number of open watches.
func (server *Server) Watches() int64 { return server.openWatches.Load() }

// Dump returns a copy of all entries for Restore.
func (server *Server) Dump() map[string][]byte {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	backup := map[string][]byte{}
	for key, entry := range server.entries {
		backup[key] = entry.value
	}
	return backup
}

// Restore replaces all entries with those of an earlier Dump, as an operator does
// who restores an old backup. Revisions keep increasing.
func (server *Server) Restore(backup map[string][]byte) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.entries = map[string]entry{}
	for key, value := range backup {
		server.revision++
		server.entries[key] = entry{value: value, revision: server.revision}
	}
	server.wakeWatches()
}

// wakeWatches makes all open watches check for an event; the mutex is held.
func (server *Server) wakeWatches() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// Listen opens the listening socket. It returns a fault of KindUnavailable if the
// address can't be listened on.
func (server *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable, err.Error(), "choose a free port")
	}
	server.listener = listener
	return nil
}

// Address returns the base URL of the service. Listen comes first.
func (server *Server) Address() string { return "http://" + server.listener.Addr().String() }

// Serve handles requests until ctx ends. Listen comes first.
func (server *Server) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", server.guard(server.readLimiter, server.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", server.guard(server.writeLimiter, server.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", server.guard(server.writeLimiter, server.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", server.guard(server.writeLimiter, server.serveKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", server.guard(server.writeLimiter, server.serveRevoke))
	mux.HandleFunc("POST /v3/watch", server.guard(server.readLimiter, server.serveWatch))
	httpServer := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	defer stop()
	if err := httpServer.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// guard applies the injected faults and the rate limit before a call.
func (server *Server) guard(limiter *rate.Limiter, handle http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		server.calls.Add(1)
		if delay := time.Duration(server.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		if server.isRefused(request) {
			http.Error(writer, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if !limiter.Allow() {
			http.Error(writer, "too many requests", http.StatusTooManyRequests)
			return
		}
		handle(writer, request)
	}
}

// isRefused reports whether the service is down or refuses the client of the request.
func (server *Server) isRefused(request *http.Request) bool {
	_, refused := server.refusedClients.Load(request.UserAgent())
	return refused || server.down.Load()
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision string `json:"mod_revision,omitempty"`
}

type header struct {
	Revision string `json:"revision"`
}

func (server *Server) headerLocked() header {
	return header{Revision: strconv.FormatInt(server.revision, 10)}
}

// decode reads the JSON body of a request, or responds with status 400.
func decode(writer http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(request.Body).Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	Count  string     `json:"count,omitempty"`
}

func (server *Server) serveRange(writer http.ResponseWriter, request *http.Request) {
	var query rangeRequest
	if !decode(writer, request, &query) {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.expireLeases()
	writeJSON(writer, server.rangeLocked(query))
}

func (server *Server) rangeLocked(query rangeRequest) rangeResponse {
	response := rangeResponse{Header: server.headerLocked()}
	for key, entry := range server.entries {
		inRange := key == string(query.Key) ||
			len(query.RangeEnd) > 0 && key >= string(query.Key) && key < string(query.RangeEnd)
		if inRange {
			response.Kvs = append(response.Kvs, entry.keyValue(key))
		}
	}
	response.Count = strconv.Itoa(len(response.Kvs))
	return response
}

func (entry entry) keyValue(key string) keyValue {
	return keyValue{Key: []byte(key), Value: entry.value, ModRevision: strconv.FormatInt(entry.revision, 10)}
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision string `json:"mod_revision,omitempty"`
}

type operation struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease string `json:"lease,omitempty"`
	} `json:"request_put,omitempty"`
	Range *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type txnResponse struct {
	Header    header           `json:"header"`
	Succeeded bool             `json:"succeeded"`
	Responses []map[string]any `json:"responses,omitempty"`
}

func (server *Server) serveTxn(writer http.ResponseWriter, request *http.Request) {
	var txn txnRequest
	if !decode(writer, request, &txn) {
		return
	}
	server.mutex.Lock()
	response := server.runTxn(txn)
	server.mutex.Unlock()
	if response.Succeeded && server.responsesToDrop.Add(-1) >= 0 {
		dropConnection(writer)
		return
	}
	writeJSON(writer, response)
}

// dropConnection closes the connection without a response.
func dropConnection(writer http.ResponseWriter) {
	socket, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = socket.Close()
	}
}

// runTxn executes a transaction; the mutex is held. All comparisons are for
// equality of the modification revision, the only ones that the proxy sends.
func (server *Server) runTxn(txn txnRequest) txnResponse {
	server.expireLeases()
	succeeded := true
	for _, comparison := range txn.Compare {
		expected, _ := strconv.ParseInt(comparison.ModRevision, 10, 64)
		succeeded = succeeded && server.entries[string(comparison.Key)].revision == expected
	}
	operations := txn.Failure
	if succeeded {
		operations = txn.Success
	}
	response := txnResponse{Succeeded: succeeded}
	for _, operation := range operations {
		if operation.Put != nil {
			leaseID, _ := strconv.ParseInt(operation.Put.Lease, 10, 64)
			server.revision++
			server.entries[string(operation.Put.Key)] = entry{value: operation.Put.Value, revision: server.revision, lease: leaseID}
			response.Responses = append(response.Responses, map[string]any{"response_put": map[string]any{}})
		}
		if operation.Range != nil {
			response.Responses = append(response.Responses, map[string]any{"response_range": server.rangeLocked(*operation.Range)})
		}
	}
	if succeeded {
		server.wakeWatches()
	}
	response.Header = server.headerLocked()
	return response
}

// expireLeases removes expired leases and their entries; the mutex is held.
func (server *Server) expireLeases() {
	now := time.Now()
	for id, lease := range server.leases {
		if now.After(lease.expires) {
			server.dropLease(id)
		}
	}
}

// dropLease removes a lease and its entries; the mutex is held.
func (server *Server) dropLease(id int64) {
	delete(server.leases, id)
	for key, entry := range server.entries {
		if entry.lease == id {
			delete(server.entries, key)
			server.revision++
		}
	}
}

type leaseMessage struct {
	ID  string `json:"ID,omitempty"`
	TTL string `json:"TTL,omitempty"`
}

func (server *Server) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var body leaseMessage
	if !decode(writer, request, &body) {
		return
	}
	seconds, _ := strconv.ParseInt(body.TTL, 10, 64)
	ttl := time.Duration(seconds) * time.Second
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.lastLeaseID++
	server.leases[server.lastLeaseID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(writer, leaseMessage{ID: strconv.FormatInt(server.lastLeaseID, 10), TTL: body.TTL})
}

func (server *Server) serveKeepAlive(writer http.ResponseWriter, request *http.Request) {
	var body leaseMessage
	if !decode(writer, request, &body) {
		return
	}
	id, _ := strconv.ParseInt(body.ID, 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.expireLeases()
	lease, found := server.leases[id]
	if !found {
		writeJSON(writer, map[string]any{"result": leaseMessage{ID: body.ID, TTL: "0"}})
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	server.leases[id] = lease
	ttl := strconv.FormatInt(int64(lease.ttl/time.Second), 10)
	writeJSON(writer, map[string]any{"result": leaseMessage{ID: body.ID, TTL: ttl}})
}

func (server *Server) serveRevoke(writer http.ResponseWriter, request *http.Request) {
	var body leaseMessage
	if !decode(writer, request, &body) {
		return
	}
	id, _ := strconv.ParseInt(body.ID, 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.dropLease(id)
	server.wakeWatches()
	writeJSON(writer, map[string]any{})
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision string `json:"start_revision"`
	} `json:"create_request"`
}

// serveWatch streams the changes of one key until the client disconnects or is
// refused, or the service is down. A slow client gets the latest value of the key
// only.
func (server *Server) serveWatch(writer http.ResponseWriter, request *http.Request) {
	var body watchRequest
	if !decode(writer, request, &body) {
		return
	}
	server.openWatches.Add(1)
	defer server.openWatches.Add(-1)
	next, _ := strconv.ParseInt(body.Create.StartRevision, 10, 64)
	flusher := http.NewResponseController(writer)
	writeJSON(writer, map[string]any{"result": map[string]any{"created": true}})
	_ = flusher.Flush()
	for {
		server.mutex.Lock()
		entry := server.entries[string(body.Create.Key)]
		changed := server.changed
		server.mutex.Unlock()
		// The check for an outage comes after this one: open watches still receive
		// what was committed before it.
		if entry.revision >= next && entry.revision > 0 {
			next = entry.revision + 1
			event := map[string]any{"kv": entry.keyValue(string(body.Create.Key))}
			writeJSON(writer, map[string]any{"result": map[string]any{"events": []any{event}}})
			_ = flusher.Flush()
		}
		if server.isRefused(request) {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}
