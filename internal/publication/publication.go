// Package publication puts object sets into the platform's store.
//
// The content goes under its hash, compressed, where it never changes; a small
// one travels in the head record too, so that the one message that tells of a new
// set also brings it, even if the store goes down right behind it. Then one
// compare-and-swap of the head record accepts it. The head record carries a
// publish id of the publisher's own, so that a lost answer is settled by reading
// the head: whoever finds its own id, or a later head that names it as its
// predecessor, was accepted.
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

// Keys in the store.
const (
	HeadKey      = "ebonywood/head"
	contentSpace = "ebonywood/sets/"
)

const (
	settleTries = 50
	settlePause = 100 * time.Millisecond
	// historyLength is how many predecessors a head names.
	historyLength = 16
	// inlineSize bounds the compressed content that the head record carries.
	inlineSize = 128 << 10
	// valueSize bounds a value of the store, contentSize what it unpacks to.
	valueSize   = 1 << 20
	contentSize = 64 << 20
)

// Publication publishes and reads sets.
type Publication struct {
	store ebonywood.Store
}

// New makes a publication over a store.
func New(store ebonywood.Store) *Publication { return &Publication{store: store} }

// head is the record that names the accepted set.
type head struct {
	Generation uint64   `json:"generation"`
	Hash       string   `json:"hash"`
	PublishID  string   `json:"publishId"`
	Earlier    []string `json:"earlier,omitempty"`
	Content    []byte   `json:"content,omitempty"`
}

// Head reads the accepted set; nil when none was published. revision is the
// head's, for a watch.
func (publication *Publication) Head(ctx context.Context) (set *ebonywood.ObjectSet, revision int64, err error) {
	current, revision, err := publication.readHead(ctx)
	if err != nil || revision == 0 {
		return nil, revision, err
	}
	set, err = publication.load(ctx, current)
	return set, revision, err
}

// Next waits for a head after the given revision and reads its set.
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

func (publication *Publication) readHead(ctx context.Context) (head, int64, error) {
	text, revision, err := publication.store.Get(ctx, HeadKey)
	if err != nil || revision == 0 {
		return head{}, revision, err
	}
	current, err := parseHead(text)
	return current, revision, err
}

func parseHead(text []byte) (head, error) {
	var current head
	if err := json.Unmarshal(text, &current); err != nil {
		return head{}, ebonywood.NewFault(ebonywood.KindBadInput, "the head record can't be read: "+err.Error(),
			"publish a set again with this version of the program")
	}
	return current, nil
}

func (publication *Publication) load(ctx context.Context, current head) (*ebonywood.ObjectSet, error) {
	packed := current.Content
	if len(packed) == 0 {
		stored, _, err := publication.store.Get(ctx, contentSpace+current.Hash)
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

// Publish checks a content and makes it the head if the head's generation is
// still expect. It returns the new generation. A conflict tells who won.
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
	next := head{Generation: expect + 1, Hash: hash, PublishID: uuid.NewString(), Earlier: current.lineage()}
	if len(packed) <= inlineSize {
		next.Content = packed
	}
	text, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	swapped, err := publication.store.CompareAndSwap(ctx, HeadKey, text, revision)
	if err != nil {
		return publication.settle(ctx, next, expect, err)
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

func pack(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, writeErr := writer.Write(content)
	if err := errors.Join(writeErr, writer.Close()); err != nil {
		return nil, err
	}
	if packed.Len() > valueSize {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("the set has %d bytes compressed, the store holds %d", packed.Len(), valueSize),
			"take out objects that are not used, and comments")
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, contentSize))
}

// lineage names the head and what it replaced.
func (current head) lineage() []string {
	if current.PublishID == "" {
		return nil
	}
	lineage := append([]string{current.PublishID}, current.Earlier...)
	return lineage[:min(len(lineage), historyLength)]
}

func (publication *Publication) storeContent(ctx context.Context, hash string, packed []byte) error {
	_, revision, err := publication.store.Get(ctx, contentSpace+hash)
	if err != nil || revision > 0 {
		return err
	}
	if _, err := publication.store.CompareAndSwap(ctx, contentSpace+hash, packed, 0); err != nil {
		// The answer may have been lost after the effect.
		_, revision, readErr := publication.store.Get(ctx, contentSpace+hash)
		if readErr != nil || revision == 0 {
			return err
		}
	}
	return nil
}

// settle finds out what became of a swap whose answer was lost.
func (publication *Publication) settle(ctx context.Context, own head, expect uint64, cause error) (uint64, error) {
	for range settleTries {
		current, _, err := publication.readHead(ctx)
		if err == nil && current.names(own.PublishID) {
			return own.Generation, nil
		}
		if err == nil && current.Generation != expect {
			return 0, conflict(current, expect)
		}
		select {
		case <-ctx.Done():
			return 0, unsettled(own, cause)
		case <-time.After(settlePause):
		}
	}
	return 0, unsettled(own, cause)
}

func (current head) names(publishID string) bool {
	if current.PublishID == publishID {
		return true
	}
	for _, earlier := range current.Earlier {
		if earlier == publishID {
			return true
		}
	}
	return false
}

func conflict(current head, expect uint64) error {
	return ebonywood.NewFault(ebonywood.KindConflict,
		fmt.Sprintf("generation %d (%.12s) is in force, not %d", current.Generation, current.Hash, expect),
		fmt.Sprintf("look at 'ebonywood diff', then publish with --expect %d", current.Generation))
}

func unsettled(own head, cause error) error {
	return ebonywood.NewFault(ebonywood.KindUnknown,
		fmt.Sprintf("publish %s has no answer: %v", own.PublishID, cause),
		"run 'ebonywood status' once the store is up again, before you publish anew")
}

// Generation reads the accepted generation; 0 when none was published.
func (publication *Publication) Generation(ctx context.Context) (int64, error) {
	current, _, err := publication.readHead(ctx)
	return int64(current.Generation), err
}
