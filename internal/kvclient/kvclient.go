// Package kvclient is a client for the platform's key-value service that uses the etcd
// v3 HTTP/JSON interface. The Go client of the service depends on gRPC and generated
// code, whereas the JSON interface needs three calls of net/http.
package kvclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
)

const (
	// callTimeout bounds a call other than a watch.
	callTimeout = 2 * time.Second
	// maxResponseSize bounds the bytes read of one response other than that of a watch.
	// The service's values have at most one megabyte, which base64 expands.
	maxResponseSize = 2 << 20
)

// Client calls the service. It is safe for concurrent use. A call fails with a fault of
// KindUnavailable if no address sends a valid response.
type Client struct {
	addresses []string
	name      string
	metrics   tally.Scope
	http      http.Client
}

// New returns a client that tries the addresses in order. name identifies the client to
// the service in the User-Agent header. Every call is counted in metrics by its purpose.
func New(addresses []string, name string, metrics tally.Scope) *Client {
	return &Client{addresses: addresses, name: name, metrics: metrics}
}

var _ ebonywood.Store = (*Client)(nil)

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision string `json:"mod_revision"`
}

func (pair keyValue) revision() int64 {
	revision, err := strconv.ParseInt(pair.ModRevision, 10, 64)
	if err != nil {
		return 0
	}
	return revision
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Kvs []keyValue `json:"kvs"`
}

// Get returns the value and the revision of a key. Both are zero if the key does not
// exist.
func (client *Client) Get(ctx context.Context, key string) ([]byte, int64, error) {
	var response rangeResponse
	if err := client.call(ctx, "range", "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response); err != nil {
		return nil, 0, err
	}
	if len(response.Kvs) == 0 {
		return nil, 0, nil
	}
	return response.Kvs[0].Value, response.Kvs[0].revision(), nil
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision string `json:"mod_revision"`
}

type put struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type operation struct {
	Put put `json:"request_put"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnResponse struct {
	Succeeded bool `json:"succeeded"`
}

// CompareAndSwap writes a key if its revision is still the given one, and reports
// whether it did. A revision of 0 means that the key must not exist.
func (client *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (bool, error) {
	request := txnRequest{
		Compare: []compare{{
			Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: strconv.FormatInt(revision, 10),
		}},
		Success: []operation{{Put: put{Key: []byte(key), Value: value}}},
	}
	var response txnResponse
	if err := client.call(ctx, "swap", "/v3/kv/txn", request, &response); err != nil {
		return false, err
	}
	return response.Succeeded, nil
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision string `json:"start_revision"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchResponse struct {
	Result struct {
		Events []struct {
			Kv keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// Watch blocks until the key's revision is greater than the given one, and returns the
// new value and revision.
func (client *Client) Watch(ctx context.Context, key string, revision int64) ([]byte, int64, error) {
	request := watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: strconv.FormatInt(revision+1, 10)}}
	body, err := client.post(ctx, "watch", "/v3/watch", request)
	if err != nil {
		return nil, 0, err
	}
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		var response watchResponse
		if err := decoder.Decode(&response); err != nil {
			return nil, 0, unavailable(err.Error())
		}
		for _, event := range response.Result.Events {
			if current := event.Kv.revision(); current > revision {
				return event.Kv.Value, current, nil
			}
		}
	}
}

func (client *Client) call(ctx context.Context, purpose, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := client.post(ctx, purpose, path, request)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxResponseSize)).Decode(response); err != nil {
		return unavailable(err.Error())
	}
	return nil
}

// post sends a request to the addresses in order until one succeeds. A failed request
// may have taken effect, which is safe, since each call is idempotent or conditional on
// a revision.
func (client *Client) post(ctx context.Context, purpose, path string, request any) (io.ReadCloser, error) {
	payload, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	lastErr := unavailable("no address is configured")
	for _, address := range client.addresses {
		client.metrics.Tagged(map[string]string{"purpose": purpose}).Counter("store_calls").Inc(1)
		body, err := client.postTo(ctx, address+path, payload)
		if err == nil {
			return body, nil
		}
		lastErr = unavailable(err.Error())
	}
	return nil, lastErr
}

func (client *Client) postTo(ctx context.Context, url string, payload []byte) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", client.name)
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("the service responded with %s", response.Status)
	}
	return response.Body, nil
}

func unavailable(message string) error {
	return ebonywood.NewFault(ebonywood.KindUnavailable, "key-value service: "+message,
		"check the platform's service and platform.addresses")
}
