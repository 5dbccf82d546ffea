// Package publication publishes object sets in the platform's store.
//
// The content is stored compressed under its hash and never changes. Then a single
// compare-and-swap of the head record accepts it. The head record also contains the
// content if it is small, so that the notification of a new set delivers it even if
// the store becomes unavailable right afterwards.
//
// The head record contains a unique publish ID. If the reply to the compare-and-swap
// is lost, the publisher reads the head: its set was accepted if the head has its
// publish ID or lists it among the predecessors.
package publication

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/objectfile"
)

// Keys in the store. HeadKey holds the head record; a content is stored under
// contentPrefix and its hash.
const (
	HeadKey       = "ebonywood/head"
	contentPrefix = "ebonywood/sets/"
)

const (
	// An unknown outcome is resolved by up to resolveAttempts reads of the head,
	// resolveInterval apart.
	resolveAttempts = 50
	resolveInterval = 100 * time.Millisecond
	// maxPredecessors is how many predecessors a head record lists.
	maxPredecessors = 16
	// maxInlineBytes is the maximum size of the compressed content in a head record.
	maxInlineBytes = 128 << 10
	// maxValueBytes is the maximum size of a value in the store, maxContentBytes that
	// of the decompressed content.
	maxValueBytes   = 1 << 20
	maxContentBytes = 64 << 20
)

// Publication publishes object sets and reads the accepted one. It is safe for
// concurrent use if its store is.
type Publication struct {
	store ebonywood.Store
}

// New returns a publication that uses the given store.
func New(store ebonywood.Store) *Publication { return &Publication{store: store} }

// headRecord names the accepted set. Predecessors are the publish IDs of earlier heads,
// latest first.
type headRecord struct {
	Generation   uint64   `json:"generation"`
	Hash         string   `json:"hash"`
	PublishID    string   `json:"publishId"`
	Predecessors []string `json:"earlier,omitempty"`
	Content      []byte   `json:"content,omitempty"`
}

// Head reads the accepted set; it is nil if none was published. revision is that of
// the head record, for Next.
func (publication *Publication) Head(ctx context.Context) (set *ebonywood.ObjectSet, revision int64, err error) {
	current, revision, err := publication.readHead(ctx)
	if err != nil || revision == 0 {
		return nil, revision, err
	}
	set, err = publication.load(ctx, current)
	return set, revision, err
}

// Next waits for a head record with a revision greater than after and reads its set.
// revision is that of the new head record, also if the record or its content is
// invalid; if the watch itself fails, it is after.
func (publication *Publication) Next(ctx context.Context, after int64) (set *ebonywood.ObjectSet, revision int64, err error) {
	text, revision, err := publication.store.Watch(ctx, HeadKey, after)
	if err != nil {
		return nil, after, err
	}
	current, err := parseHead(text)
	if err != nil {
		return nil, revision, err
	}
	set, err = publication.load(ctx, current)
	return set, revision, err
}

// readHead reads the head record; revision is 0 if there is none.
func (publication *Publication) readHead(ctx context.Context) (headRecord, int64, error) {
	text, revision, err := publication.store.Get(ctx, HeadKey)
	if err != nil || revision == 0 {
		return headRecord{}, revision, err
	}
	current, err := parseHead(text)
	return current, revision, err
}

func parseHead(text []byte) (headRecord, error) {
	var current headRecord
	if err := json.Unmarshal(text, &current); err != nil {
		return headRecord{}, ebonywood.NewFault(ebonywood.KindBadInput, "the head record can't be read: "+err.Error(),
			"publish a set again with this version of the program")
	}
	return current, nil
}

// load returns the set that a head record names, from the record or from the store.
func (publication *Publication) load(ctx context.Context, current headRecord) (*ebonywood.ObjectSet, error) {
	packed := current.Content
	if len(packed) == 0 {
		stored, _, err := publication.store.Get(ctx, contentPrefix+current.Hash)
		if err != nil {
			return nil, err
		}
		packed = stored
	}
	content, err := unpack(packed)
	if err != nil || objectfile.Hash(content) != current.Hash {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("the content of set %s is missing", current.Hash),
			"publish the set again")
	}
	return objectfile.Parse(current.Generation, content)
}

// Publish checks a content and makes it the accepted set if the accepted generation
// is still expect, which is 0 if none was published. It returns the new generation. The
// error is a fault of KindBadInput for an invalid set, of KindConflict, which names the
// accepted generation and its hash, if that is not expect, of KindUnknown if the outcome
// could not be determined, else the error of the store.
func (publication *Publication) Publish(ctx context.Context, content []byte, expect uint64) (uint64, error) {
	if _, err := objectfile.Parse(expect+1, content); err != nil {
		return 0, err
	}
	hash := objectfile.Hash(content)
	packed, err := pack(content)
	if err != nil {
		return 0, err
	}
	if err := publication.storeContent(ctx, hash, packed); err != nil {
		return 0, err
	}
	current, revision, err := publication.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if current.Generation != expect {
		return 0, conflict(current, expect)
	}
	next := headRecord{Generation: expect + 1, Hash: hash, PublishID: uuid.NewString(), Predecessors: current.lineage()}
	if len(packed) <= maxInlineBytes {
		next.Content = packed
	}
	text, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	swapped, err := publication.store.CompareAndSwap(ctx, HeadKey, text, revision)
	if err != nil {
		return publication.resolveSwap(ctx, next, expect, err)
	}
	if !swapped {
		current, _, err := publication.readHead(ctx)
		if err != nil {
			return 0, err
		}
		return 0, conflict(current, expect)
	}
	return next.Generation, nil
}

// pack compresses a content.
func pack(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, writeErr := writer.Write(content)
	if err := errors.Join(writeErr, writer.Close()); err != nil {
		return nil, err
	}
	if packed.Len() > maxValueBytes {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("the set has %d bytes compressed, the store accepts %d", packed.Len(), maxValueBytes),
			"remove unused objects and comments")
	}
	return packed.Bytes(), nil
}

// unpack decompresses a content, up to maxContentBytes.
func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, maxContentBytes))
}

// lineage returns the publish IDs of the head and its predecessors, latest first, as
// the predecessors of the next head.
func (record headRecord) lineage() []string {
	if record.PublishID == "" {
		return nil
	}
	lineage := append([]string{record.PublishID}, record.Predecessors...)
	return lineage[:min(len(lineage), maxPredecessors)]
}

// storeContent stores the content under its hash unless it is already there.
func (publication *Publication) storeContent(ctx context.Context, hash string, packed []byte) error {
	_, revision, err := publication.store.Get(ctx, contentPrefix+hash)
	if err != nil || revision > 0 {
		return err
	}
	if _, err := publication.store.CompareAndSwap(ctx, contentPrefix+hash, packed, 0); err != nil {
		// The store may have written the value although the reply was lost.
		_, revision, readErr := publication.store.Get(ctx, contentPrefix+hash)
		if readErr != nil || revision == 0 {
			return err
		}
	}
	return nil
}

// resolveSwap determines the outcome of a compare-and-swap whose reply was lost.
func (publication *Publication) resolveSwap(ctx context.Context, submitted headRecord, expect uint64, cause error) (uint64, error) {
	for range resolveAttempts {
		current, _, err := publication.readHead(ctx)
		if err == nil && current.includes(submitted.PublishID) {
			return submitted.Generation, nil
		}
		if err == nil && current.Generation != expect {
			return 0, conflict(current, expect)
		}
		select {
		case <-ctx.Done():
			return 0, outcomeUnknown(submitted, cause)
		case <-time.After(resolveInterval):
		}
	}
	return 0, outcomeUnknown(submitted, cause)
}

// includes reports whether the publish ID is that of the head or of a predecessor.
func (record headRecord) includes(publishID string) bool {
	if record.PublishID == publishID {
		return true
	}
	for _, predecessor := range record.Predecessors {
		if predecessor == publishID {
			return true
		}
	}
	return false
}

// conflict is the fault of a publish that expected another generation.
func conflict(current headRecord, expect uint64) error {
	return ebonywood.NewFault(ebonywood.KindConflict,
		fmt.Sprintf("generation %d (%.12s) is in force, not %d", current.Generation, current.Hash, expect),
		fmt.Sprintf("check 'ebonywood diff', then publish with --expect %d", current.Generation))
}

// outcomeUnknown is the fault of a publish whose outcome could not be determined.
func outcomeUnknown(submitted headRecord, cause error) error {
	return ebonywood.NewFault(ebonywood.KindUnknown,
		fmt.Sprintf("publish %s got no reply: %v", submitted.PublishID, cause),
		"run 'ebonywood status' once the store is available, before you publish again")
}

// Generation reads the accepted generation; it is 0 if none was published.
func (publication *Publication) Generation(ctx context.Context) (int64, error) {
	current, _, err := publication.readHead(ctx)
	return int64(current.Generation), err
}
