package targetserver

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/pgconn"
)

const (
	heartbeatPeriod = 20 * time.Millisecond
	// replicateTimeout bounds one message, including the dial.
	replicateTimeout   = 2 * time.Second
	maxRecordsPerBatch = 512
	// applyPeriod is the interval at which applyLoop checks for due records while a lag
	// is set.
	applyPeriod = 2 * time.Millisecond
)

// replicationBatch is one message from a primary to a replica. Terms and Writes
// have one element for each record; a heartbeat has none. The records follow the
// position of PrevTerm and PrevOffset.
type replicationBatch struct {
	Term       ebonywood.Term   `json:"term"`
	PrevTerm   ebonywood.Term   `json:"prevTerm"`
	PrevOffset uint64           `json:"prevOffset"`
	Terms      []ebonywood.Term `json:"terms"`
	Writes     [][][2]string    `json:"writes"`
}

// replicate sends the log to one peer while this member is primary, and a
// heartbeat when there is nothing to send.
//
// It continues at the old term after the member was fenced, because a switchover
// waits until the next primary has received the end of the log.
// Replicas that are fenced at a higher term refuse the messages.
func (server *Server) replicate(ctx context.Context, peer string) error {
	var conn *pgconn.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	next := uint64(0)
	for ctx.Err() == nil {
		server.mutex.Lock()
		changed, term := server.changed, server.journal.PrimaryTerm()
		end, active := server.journal.End().Offset(), server.journal.PrimaryTerm() > 0 && server.journal.End().Term() == term
		server.mutex.Unlock()
		if !active || server.partitioned.Load() || next >= end {
			waitForChange(ctx, changed)
		}
		if !active || server.partitioned.Load() {
			continue
		}
		if server.thawSignal.Load() != nil {
			server.awaitThaw(ctx)
			continue
		}
		following, err := server.sendBatch(ctx, &conn, peer, term, next)
		if err != nil {
			if conn != nil {
				conn.Close()
				conn = nil
			}
			waitForChange(ctx, nil)
			continue
		}
		next = following
	}
	return nil
}

// waitForChange waits until changed is closed, but at most a heartbeat period. A nil
// channel waits for the whole period.
func waitForChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(heartbeatPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// sendBatch sends the records after offset next and returns the offset to continue
// at. It opens *conn if that is nil.
func (server *Server) sendBatch(
	ctx context.Context, conn **pgconn.Conn, peer string, term ebonywood.Term, next uint64,
) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	if *conn == nil {
		dialed, err := pgconn.Dial(ctx, peer, ControlUser, server.password, "replication")
		if err != nil {
			return 0, err
		}
		*conn = dialed
	}
	server.mutex.Lock()
	prev, terms, writes := server.journal.From(next, maxRecordsPerBatch)
	server.mutex.Unlock()
	encoded, err := json.Marshal(replicationBatch{
		Term: term, PrevTerm: prev.Term(), PrevOffset: prev.Offset(), Terms: terms, Writes: writes,
	})
	if err != nil {
		return 0, err
	}
	rows, err := (*conn).Query(ctx, receivePrefix+"'"+hex.EncodeToString(encoded)+"')")
	if err != nil {
		return 0, err
	}
	if rows[0][0] == "matched" {
		return prev.Offset() + uint64(len(terms)), nil
	}
	// The logs differ at or before this offset; halving it finds a common prefix in few
	// messages.
	return prev.Offset() / 2, nil
}

// receive stores a batch that is encoded as JSON in hex, and reports whether the
// record before it matched. If visible records were rolled back, it closes all
// connections of clients, as a database that rewinds its log does.
func (server *Server) receive(encoded string) (bool, error) {
	raw, err := hex.DecodeString(encoded)
	if err != nil {
		return false, err
	}
	var batch replicationBatch
	if err := json.Unmarshal(raw, &batch); err != nil {
		return false, err
	}
	if server.partitioned.Load() {
		return false, ebonywood.NewFault(ebonywood.KindUnavailable, "the member is cut off from its peers", "end the injected partition")
	}
	server.mutex.Lock()
	prev := ebonywood.NewPosition(batch.PrevTerm, batch.PrevOffset)
	matched, rewound, err := server.journal.Receive(batch.Term, prev, batch.Terms, batch.Writes)
	if err == nil {
		server.lastReceivedAt = time.Now()
		server.wakeWaiters()
	}
	server.mutex.Unlock()
	if rewound {
		server.closeSessions(func(session *session) bool { return !session.isControl() })
	}
	return matched, err
}

// applyLoop makes stored records visible to reads once the lag has passed.
func (server *Server) applyLoop(ctx context.Context) error {
	type observedEnd struct {
		seenAt time.Time
		end    uint64
	}
	var logEnds []observedEnd
	for ctx.Err() == nil {
		server.mutex.Lock()
		changed := server.changed
		end := server.journal.End().Offset()
		if len(logEnds) == 0 || logEnds[len(logEnds)-1].end != end {
			logEnds = append(logEnds, observedEnd{time.Now(), end})
		}
		lag := time.Duration(server.applyLag.Load())
		before := server.journal.Applied()
		for len(logEnds) > 0 && time.Since(logEnds[0].seenAt) >= lag {
			server.journal.Apply(logEnds[0].end)
			logEnds = logEnds[1:]
		}
		if server.journal.Applied() != before {
			server.wakeWaiters()
			changed = server.changed
		}
		server.mutex.Unlock()
		if lag > 0 {
			changed = nil
		}
		waitForApply(ctx, changed)
	}
	return nil
}

// waitForApply waits until changed is closed, or for one apply period if it is nil.
func waitForApply(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(applyPeriod)
	defer timer.Stop()
	if changed == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return
	}
	select {
	case <-ctx.Done():
	case <-changed:
	}
}
