// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/shelfledge/shelfledge/modules/bounded"
)

// Options are the settings of a Client.
type Options struct {
	Addresses []netip.AddrPort
	// Timeout bounds each call, except watches.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond are the rate limits of this client, its share of the rate that the service can handle. Zero
	// means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Client, if set, replaces the default HTTP client, for tests and TLS.
	Client *http.Client
}

// Counts holds the numbers of calls since the client was created.
type Counts struct {
	Reads   int64
	Writes  int64
	Watches int64
	// OutcomeUnknown counts the calls that failed with ErrOutcomeUnknown.
	OutcomeUnknown int64
	// NotDone counts the calls that the service refused and those that were not sent because no connection could be established.
	NotDone int64
	// Throttled counts the calls that were not sent because of the client's rate limit.
	Throttled int64
}

// Client calls the key-value service; it is safe for concurrent use.
type Client struct {
	options     Options
	http        *http.Client
	reads       *rate.Limiter
	writes      *rate.Limiter
	nextAddress atomic.Int64
	counts      struct {
		reads, writes, watches, outcomeUnknown, notDone, throttled atomic.Int64
	}
}

const (
	// maxResponseBytes bounds a response and each message of a watch, in bytes, so that a faulty service cannot exhaust the memory.
	maxResponseBytes = 32 << 20
	// defaultTimeout bounds a call if the options set no timeout.
	defaultTimeout = 2 * time.Second
	// maxIdlePerHost and idleTimeout bound the number and the age of idle connections to each address.
	maxIdlePerHost = 16
	idleTimeout    = 30 * time.Second
)

// New returns a Client. It connects to the service on the first call.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	client := o.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: bounded.MaxHeadBytes}}
	}
	return &Client{
		options: o, http: client, reads: newLimiter(o.ReadsPerSecond), writes: newLimiter(o.WritesPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Counts returns the numbers of calls so far.
func (c *Client) Counts() Counts {
	return Counts{
		Reads: c.counts.reads.Load(), Writes: c.counts.writes.Load(), Watches: c.counts.watches.Load(),
		OutcomeUnknown: c.counts.outcomeUnknown.Load(), NotDone: c.counts.notDone.Load(), Throttled: c.counts.throttled.Load(),
	}
}

// Range reads keys.
func (c *Client) Range(ctx context.Context, r RangeRequest) (RangeResponse, error) {
	var out RangeResponse
	err := c.read(ctx, "/v3/kv/range", r, &out)
	return out, err
}

// Get reads one key. It returns false if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Pair, bool, error) {
	out, err := c.Range(ctx, RangeRequest{Key: []byte(key)})
	if err != nil || len(out.KVs) == 0 {
		return Pair{}, false, err
	}
	return out.KVs[0], true, nil
}

// Txn runs a transaction. If it returns an ErrOutcomeUnknown, the transaction may have taken effect.
func (c *Client) Txn(ctx context.Context, r TxnRequest) (TxnResponse, error) {
	var out TxnResponse
	err := c.write(ctx, "/v3/kv/txn", r, &out)
	return out, err
}

// Grant creates a lease, which expires after ttl unless it is renewed, and returns its ID.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out LeaseResponse
	err := c.write(ctx, "/v3/lease/grant", LeaseGrantRequest{TTL: int64(ttl / time.Second)}, &out)
	return out.ID, err
}

// KeepAlive renews a lease. It returns an ErrLeaseNotFound if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, id int64) error {
	var out KeepAliveResponse
	if err := c.write(ctx, "/v3/lease/keepalive", LeaseRequest{ID: id}, &out); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return ErrLeaseNotFound{ID: id}
	}
	return nil
}

// Revoke ends a lease and deletes the keys bound to it.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	return c.write(ctx, "/v3/lease/revoke", LeaseRequest{ID: id}, &LeaseResponse{})
}

// Watch watches a key from a revision on and calls onEvent for each change, until ctx ends, the service ends the watch, or onEvent returns
// false.
func (c *Client) Watch(ctx context.Context, key string, from int64, onEvent func(WatchEvent) bool) error {
	c.counts.watches.Add(1)
	if err := c.reads.Wait(ctx); err != nil {
		return ErrNotDone{Call: "watch", Reason: err.Error()}
	}
	body, err := json.Marshal(WatchRequest{Create: WatchCreate{Key: []byte(key), StartRevision: from}})
	if err != nil {
		return ErrNotDone{Call: "watch", Reason: err.Error()}
	}
	resp, err := c.post(ctx, "/v3/watch", body)
	if err != nil {
		return ErrNotDone{Call: "watch", Reason: err.Error()}
	}
	// readWatch reports why the watch ended, so that an error of Close is ignored.
	defer func() { _ = resp.Body.Close() }()
	return readWatch(resp.Body, onEvent)
}

func readWatch(body io.Reader, onEvent func(WatchEvent) bool) error {
	in := &messageReader{body: body}
	d := json.NewDecoder(in)
	for {
		in.left = maxResponseBytes
		var m WatchResponse
		if err := d.Decode(&m); err != nil {
			return ErrNotDone{Call: "watch", Reason: err.Error()}
		}
		if m.Result.Canceled {
			return ErrNotDone{Call: "watch", Reason: "cancelled by the service"}
		}
		for _, e := range m.Result.Events {
			if !onEvent(e) {
				return nil
			}
		}
	}
}

// messageReader reads a body of several messages, each of which is bounded.
type messageReader struct {
	body io.Reader
	// left is how many bytes may still be read for the present message.
	left int
}

// Read implements io.Reader.
func (r *messageReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, bounded.ErrTooLong
	}
	n, err := r.body.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	return n, err
}

func (c *Client) read(ctx context.Context, path string, in, out any) error {
	c.counts.reads.Add(1)
	return c.call(ctx, path, c.reads, in, out)
}

func (c *Client) write(ctx context.Context, path string, in, out any) error {
	c.counts.writes.Add(1)
	return c.call(ctx, path, c.writes, in, out)
}

// call makes a call within the timeout. It returns an ErrNotDone only if the call was not sent or the service refused it.
func (c *Client) call(ctx context.Context, path string, limit *rate.Limiter, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if err := limit.Wait(ctx); err != nil {
		c.counts.throttled.Add(1)
		return ErrNotDone{Call: path, Reason: "rate limit of this client: " + err.Error()}
	}
	body, err := json.Marshal(in)
	if err != nil {
		return ErrNotDone{Call: path, Reason: err.Error()}
	}
	resp, err := c.post(ctx, path, body)
	if err != nil {
		return c.transportError(path, err)
	}
	// The response is read completely before Close, so that an error of Close is ignored.
	defer func() { _ = resp.Body.Close() }()
	content, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return c.outcomeUnknown(path, err.Error())
	}
	if resp.StatusCode == http.StatusNotFound && bytes.Contains(content, []byte("lease")) {
		return ErrLeaseNotFound{}
	}
	if resp.StatusCode != http.StatusOK {
		return c.statusError(path, resp.StatusCode, content)
	}
	if err := json.Unmarshal(content, out); err != nil {
		return c.outcomeUnknown(path, err.Error())
	}
	return nil
}

// statusError returns the error for a response with a status other than 200. A status below 500, including 429, and status 503 mean that
// the call had no effect. After any other status the outcome is unknown.
func (c *Client) statusError(path string, status int, content []byte) error {
	reason := fmt.Sprintf("status %d: %.200s", status, content)
	if status < http.StatusInternalServerError || status == http.StatusServiceUnavailable {
		c.counts.notDone.Add(1)
		return ErrNotDone{Call: path, Reason: reason}
	}
	return c.outcomeUnknown(path, reason)
}

func (c *Client) outcomeUnknown(path, reason string) error {
	c.counts.outcomeUnknown.Add(1)
	return ErrOutcomeUnknown{Call: path, Reason: reason}
}

// transportError returns the error for a call without a response: an ErrNotDone if no connection could be established, else an
// ErrOutcomeUnknown.
func (c *Client) transportError(path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.counts.notDone.Add(1)
		return ErrNotDone{Call: path, Reason: err.Error()}
	}
	return c.outcomeUnknown(path, err.Error())
}

// post sends a request to the next address, with a body that the transport cannot resend by itself.
func (c *Client) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	if len(c.options.Addresses) == 0 {
		return nil, &net.OpError{Op: "dial", Err: errors.New("no address is set")}
	}
	index := int(c.nextAddress.Add(1)) % len(c.options.Addresses)
	url := "http://" + c.options.Addresses[index].String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}
