// Package kvserver is a stand-in for the platform's key-value service: the part
// of the etcd v3 HTTP/JSON interface that the proxy uses (range, transactions
// with compare, leases, watches), kept in memory, with switches for the failures
// of such a service.
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

// Rates of the service that the operators run.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// Server is the whole service.
type Server struct {
	mutex    sync.Mutex
	revision int64
	entries  map[string]entry
	leases   map[int64]lease
	leaseID  int64
	changed  chan struct{}

	writes *rate.Limiter
	reads  *rate.Limiter
	calls  atomic.Int64
	open   atomic.Int64
	down   atomic.Bool
	delay  atomic.Int64
	lose   atomic.Int64
	cut    sync.Map

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

// New makes an empty service.
func New() *Server {
	return &Server{
		entries: map[string]entry{}, leases: map[int64]lease{}, changed: make(chan struct{}),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
	}
}

// SetDown makes every call fail, and ends the waiting watches.
func (server *Server) SetDown(down bool) {
	server.down.Store(down)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.announce()
}

// SetDelay makes every call slower.
func (server *Server) SetDelay(delay time.Duration) { server.delay.Store(int64(delay)) }

// DropReplies drops the answers of the next n writes after they took effect.
func (server *Server) DropReplies(n int) { server.lose.Store(int64(n)) }

// SetClientRefused refuses the calls of the named client, told by its User-Agent.
func (server *Server) SetClientRefused(client string, cut bool) {
	if cut {
		server.cut.Store(client, true)
	} else {
		server.cut.Delete(client)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.announce()
}

// Calls counts the calls so far; a watch counts as one.
func (server *Server) Calls() int64 { return server.calls.Load() }

// Watches counts the watches that wait now.
func (server *Server) Watches() int64 { return server.open.Load() }

// Dump copies all entries, and Restore puts such a copy back, as an operator
// does who restores an old backup. Revisions go on growing.
func (server *Server) Dump() map[string][]byte {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	copied := map[string][]byte{}
	for key, entry := range server.entries {
		copied[key] = entry.value
	}
	return copied
}

// Restore replaces all entries by an earlier Dump.
func (server *Server) Restore(backup map[string][]byte) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.entries = map[string]entry{}
	for key, value := range backup {
		server.revision++
		server.entries[key] = entry{value: value, revision: server.revision}
	}
	server.announce()
}

func (server *Server) announce() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// Listen opens the port.
func (server *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return ebonywood.NewFault(ebonywood.KindUnavailable, err.Error(), "choose a free port")
	}
	server.listener = listener
	return nil
}

// Address is where the service listens, once Listen returned.
func (server *Server) Address() string { return "http://" + server.listener.Addr().String() }

// Serve works until ctx ends. Listen comes first.
func (server *Server) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", server.guard(server.reads, server.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", server.guard(server.writes, server.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", server.guard(server.writes, server.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", server.guard(server.writes, server.serveKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", server.guard(server.writes, server.serveRevoke))
	mux.HandleFunc("POST /v3/watch", server.guard(server.reads, server.serveWatch))
	front := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = front.Close() })
	defer stop()
	if err := front.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// guard applies the switches and the rate cap before a call.
func (server *Server) guard(limit *rate.Limiter, serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		server.calls.Add(1)
		if delay := time.Duration(server.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		if server.isCut(request) {
			http.Error(writer, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if !limit.Allow() {
			http.Error(writer, "too many requests", http.StatusTooManyRequests)
			return
		}
		serve(writer, request)
	}
}

func (server *Server) isCut(request *http.Request) bool {
	_, cut := server.cut.Load(request.UserAgent())
	return cut || server.down.Load()
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

func decode(writer http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(request.Body).Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(writer http.ResponseWriter, body any) {
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
	server.expire()
	answer(writer, server.rangeLocked(query))
}

func (server *Server) rangeLocked(query rangeRequest) rangeResponse {
	response := rangeResponse{Header: server.headerLocked()}
	for key, found := range server.entries {
		inRange := key == string(query.Key) ||
			len(query.RangeEnd) > 0 && key >= string(query.Key) && key < string(query.RangeEnd)
		if inRange {
			response.Kvs = append(response.Kvs, found.keyValue(key))
		}
	}
	response.Count = strconv.Itoa(len(response.Kvs))
	return response
}

func (found entry) keyValue(key string) keyValue {
	return keyValue{Key: []byte(key), Value: found.value, ModRevision: strconv.FormatInt(found.revision, 10)}
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
	if response.Succeeded && server.lose.Add(-1) >= 0 {
		dropConnection(writer)
		return
	}
	answer(writer, response)
}

// dropConnection loses an answer after its effect.
func dropConnection(writer http.ResponseWriter) {
	socket, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = socket.Close()
	}
}

func (server *Server) runTxn(txn txnRequest) txnResponse {
	server.expire()
	succeeded := true
	for _, each := range txn.Compare {
		wanted, _ := strconv.ParseInt(each.ModRevision, 10, 64)
		succeeded = succeeded && server.entries[string(each.Key)].revision == wanted
	}
	operations := txn.Failure
	if succeeded {
		operations = txn.Success
	}
	response := txnResponse{Succeeded: succeeded}
	for _, each := range operations {
		if each.Put != nil {
			leaseID, _ := strconv.ParseInt(each.Put.Lease, 10, 64)
			server.revision++
			server.entries[string(each.Put.Key)] = entry{value: each.Put.Value, revision: server.revision, lease: leaseID}
			response.Responses = append(response.Responses, map[string]any{"response_put": map[string]any{}})
		}
		if each.Range != nil {
			response.Responses = append(response.Responses, map[string]any{"response_range": server.rangeLocked(*each.Range)})
		}
	}
	if succeeded {
		server.announce()
	}
	response.Header = server.headerLocked()
	return response
}

// expire removes what lapsed leases held; the mutex is held.
func (server *Server) expire() {
	now := time.Now()
	for id, each := range server.leases {
		if now.After(each.expires) {
			server.dropLease(id)
		}
	}
}

func (server *Server) dropLease(id int64) {
	delete(server.leases, id)
	for key, each := range server.entries {
		if each.lease == id {
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
	var wanted leaseMessage
	if !decode(writer, request, &wanted) {
		return
	}
	seconds, _ := strconv.ParseInt(wanted.TTL, 10, 64)
	ttl := time.Duration(seconds) * time.Second
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaseID++
	server.leases[server.leaseID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(writer, leaseMessage{ID: strconv.FormatInt(server.leaseID, 10), TTL: wanted.TTL})
}

func (server *Server) serveKeepAlive(writer http.ResponseWriter, request *http.Request) {
	var wanted leaseMessage
	if !decode(writer, request, &wanted) {
		return
	}
	id, _ := strconv.ParseInt(wanted.ID, 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.expire()
	held, found := server.leases[id]
	if !found {
		answer(writer, map[string]any{"result": leaseMessage{ID: wanted.ID, TTL: "0"}})
		return
	}
	held.expires = time.Now().Add(held.ttl)
	server.leases[id] = held
	ttl := strconv.FormatInt(int64(held.ttl/time.Second), 10)
	answer(writer, map[string]any{"result": leaseMessage{ID: wanted.ID, TTL: ttl}})
}

func (server *Server) serveRevoke(writer http.ResponseWriter, request *http.Request) {
	var wanted leaseMessage
	if !decode(writer, request, &wanted) {
		return
	}
	id, _ := strconv.ParseInt(wanted.ID, 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.dropLease(id)
	server.announce()
	answer(writer, map[string]any{})
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision string `json:"start_revision"`
	} `json:"create_request"`
}

// serveWatch streams the changes of one key until the caller leaves.
func (server *Server) serveWatch(writer http.ResponseWriter, request *http.Request) {
	var wanted watchRequest
	if !decode(writer, request, &wanted) {
		return
	}
	server.open.Add(1)
	defer server.open.Add(-1)
	next, _ := strconv.ParseInt(wanted.Create.StartRevision, 10, 64)
	flusher := http.NewResponseController(writer)
	answer(writer, map[string]any{"result": map[string]any{"created": true}})
	_ = flusher.Flush()
	for {
		server.mutex.Lock()
		found := server.entries[string(wanted.Create.Key)]
		changed := server.changed
		server.mutex.Unlock()
		// What was committed before an outage still reaches those that wait for it.
		if found.revision >= next && found.revision > 0 {
			next = found.revision + 1
			event := map[string]any{"kv": found.keyValue(string(wanted.Create.Key))}
			answer(writer, map[string]any{"result": map[string]any{"events": []any{event}}})
			_ = flusher.Flush()
		}
		if server.isCut(request) {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}
