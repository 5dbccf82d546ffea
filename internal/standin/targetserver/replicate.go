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
	heartbeatPeriod  = 20 * time.Millisecond
	replicateTimeout = 2 * time.Second
	replicateBatch   = 512
	applyPeriod      = 2 * time.Millisecond
)

// parcel is what a primary sends to a replica.
type parcel struct {
	Term       ebonywood.Term   `json:"term"`
	PrevTerm   ebonywood.Term   `json:"prevTerm"`
	PrevOffset uint64           `json:"prevOffset"`
	Terms      []ebonywood.Term `json:"terms"`
	Writes     [][][2]string    `json:"writes"`
}

// replicate sends the log to one peer while this member is primary, and a
// heartbeat when there is nothing to send.
//
// It goes on at the old term after the member was fenced: a planned change
// waits for the tail to reach the next primary. Replicas that were fenced
// themselves refuse it.
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
		if !active || server.cut.Load() || next >= end {
			pause(ctx, changed)
		}
		if !active || server.cut.Load() {
			continue
		}
		if server.frozen.Load() != nil {
			server.awaitThaw(ctx)
			continue
		}
		sent, err := server.sendParcel(ctx, &conn, peer, term, next)
		if err != nil {
			if conn != nil {
				conn.Close()
				conn = nil
			}
			pause(ctx, nil)
			continue
		}
		next = sent
	}
	return nil
}

func pause(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(heartbeatPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// sendParcel sends what follows next and returns where to go on.
func (server *Server) sendParcel(
	ctx context.Context, conn **pgconn.Conn, peer string, term ebonywood.Term, next uint64,
) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	if *conn == nil {
		opened, err := pgconn.Dial(ctx, peer, ControlUser, server.password, "replication")
		if err != nil {
			return 0, err
		}
		*conn = opened
	}
	server.mutex.Lock()
	prev, terms, writes := server.journal.From(next, replicateBatch)
	server.mutex.Unlock()
	text, err := json.Marshal(parcel{
		Term: term, PrevTerm: prev.Term(), PrevOffset: prev.Offset(), Terms: terms, Writes: writes,
	})
	if err != nil {
		return 0, err
	}
	rows, err := (*conn).Query(ctx, receiveText+"'"+hex.EncodeToString(text)+"')")
	if err != nil {
		return 0, err
	}
	if rows[0][0] == "matched" {
		return prev.Offset() + uint64(len(terms)), nil
	}
	// The logs part somewhere before; going back by halves finds the place.
	return prev.Offset() / 2, nil
}

// receive stores a parcel. State that reads had seen and that was taken back
// closes all connections, as a database that rewinds does.
func (server *Server) receive(text string) (bool, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return false, err
	}
	var got parcel
	if err := json.Unmarshal(raw, &got); err != nil {
		return false, err
	}
	if server.cut.Load() {
		return false, ebonywood.NewFault(ebonywood.KindUnavailable, "cut from peers", "mend the cut")
	}
	server.mutex.Lock()
	prev := ebonywood.NewPosition(got.PrevTerm, got.PrevOffset)
	matched, rewound, err := server.journal.Receive(got.Term, prev, got.Terms, got.Writes)
	if err == nil {
		server.heard = time.Now()
		server.announce()
	}
	server.mutex.Unlock()
	if rewound {
		server.closeSessions(func(each *session) bool { return !each.isControl() })
	}
	return matched, err
}

// applyLoop makes stored records visible to reads after the lag.
func (server *Server) applyLoop(ctx context.Context) error {
	type mark struct {
		at  time.Time
		end uint64
	}
	var marks []mark
	for ctx.Err() == nil {
		server.mutex.Lock()
		changed := server.changed
		end := server.journal.End().Offset()
		if len(marks) == 0 || marks[len(marks)-1].end != end {
			marks = append(marks, mark{time.Now(), end})
		}
		lag := time.Duration(server.lag.Load())
		before := server.journal.Applied()
		for len(marks) > 0 && time.Since(marks[0].at) >= lag {
			server.journal.Apply(marks[0].end)
			marks = marks[1:]
		}
		if server.journal.Applied() != before {
			server.announce()
			changed = server.changed
		}
		server.mutex.Unlock()
		if lag > 0 {
			changed = nil
		}
		waitApply(ctx, changed)
	}
	return nil
}

func waitApply(ctx context.Context, changed <-chan struct{}) {
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
