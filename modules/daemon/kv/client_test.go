// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package kv_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

func newClient(t *testing.T, o kv.Options, handler http.HandlerFunc) *kv.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	o.Addresses = []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}
	return kv.New(o)
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func putKey(c *kv.Client) error {
	_, err := c.Txn(context.Background(), kv.TxnRequest{Success: []kv.Op{{Put: &kv.PutRequest{Key: []byte("k")}}}})
	return err
}

func TestRefusedCallReturnsErrNotDone(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		c := newClient(t, kv.Options{}, respond(status, "no"))
		err := putKey(c)
		require.True(t, kv.IsErrNotDone(err), "%d: %v", status, err)
		require.Equal(t, kv.Counts{Writes: 1, NotDone: 1}, c.Counts())
	}
}

func TestLostOrInvalidResponseHasUnknownOutcome(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"server error":  respond(http.StatusInternalServerError, "oops"),
		"gateway error": respond(http.StatusBadGateway, "oops"),
		"not JSON":      respond(http.StatusOK, "hello"),
		"truncated response": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			_, _ = w.Write([]byte("{"))
		},
		"no response": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		c := newClient(t, kv.Options{}, handler)
		err := putKey(c)
		require.True(t, kv.IsErrOutcomeUnknown(err), "%s: %v", name, err)
		require.Equal(t, kv.Counts{Writes: 1, OutcomeUnknown: 1}, c.Counts(), name)
	}
}

func TestTimeoutHasUnknownOutcome(t *testing.T) {
	release := make(chan struct{})
	c := newClient(t, kv.Options{Timeout: 50 * time.Millisecond}, func(http.ResponseWriter, *http.Request) { <-release })
	err := putKey(c)
	close(release)
	require.True(t, kv.IsErrOutcomeUnknown(err), "%v", err)
}

func TestRefusedConnectionReturnsErrNotDone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	require.True(t, kv.IsErrNotDone(putKey(kv.New(kv.Options{Addresses: []netip.AddrPort{address}}))))
	require.True(t, kv.IsErrNotDone(putKey(kv.New(kv.Options{}))), "no addresses in the options")
}

func TestCallAboveRateLimitIsNotSent(t *testing.T) {
	sent := 0
	c := newClient(t, kv.Options{WritesPerSecond: 1, Timeout: 50 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
		sent++
		_, _ = w.Write([]byte("{}"))
	})
	require.NoError(t, putKey(c))
	err := putKey(c)
	require.True(t, kv.IsErrNotDone(err), "%v", err)
	require.ErrorContains(t, err, "rate limit of this client")
	require.Equal(t, 1, sent)
	require.Equal(t, kv.Counts{Writes: 2, Throttled: 1}, c.Counts())
	_, _, err = c.Get(context.Background(), "k")
	require.NoError(t, err, "reads have a separate rate limit")
}

func TestExpiredLeaseIsReported(t *testing.T) {
	c := newClient(t, kv.Options{}, respond(http.StatusNotFound, "etcdserver: requested lease not found"))
	require.True(t, kv.IsErrLeaseNotFound(putKey(c)))
	c = newClient(t, kv.Options{}, respond(http.StatusOK, `{"result": {"ID": "7", "TTL": "0"}}`))
	require.Equal(t, kv.ErrLeaseNotFound{ID: 7}, c.KeepAlive(context.Background(), 7))
	c = newClient(t, kv.Options{}, respond(http.StatusOK, `{"result": {"ID": "7", "TTL": "10"}}`))
	require.NoError(t, c.KeepAlive(context.Background(), 7))
}

func TestCallsAreDistributedRoundRobin(t *testing.T) {
	seen := make(map[string]int)
	o := kv.Options{}
	for range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			seen[q.Host]++
			_, _ = w.Write([]byte("{}"))
		}))
		t.Cleanup(server.Close)
		o.Addresses = append(o.Addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	c := kv.New(o)
	for range 4 {
		require.NoError(t, putKey(c))
	}
	require.Equal(t, map[string]int{o.Addresses[0].String(): 2, o.Addresses[1].String(): 2}, seen)
}

func TestWatchEndsByServiceCallbackOrConnection(t *testing.T) {
	events := `{"result": {"created": true}}{"result": {"events": [{"kv": {"key": "aw==", "mod_revision": "4"}}, {"type": "DELETE", "kv": {"key": "aw=="}}]}}`
	c := newClient(t, kv.Options{}, respond(http.StatusOK, events+`{"result": {"canceled": true}}`))
	var seen []kv.WatchEvent
	err := c.Watch(context.Background(), "k", 1, func(e kv.WatchEvent) bool { seen = append(seen, e); return true })
	require.ErrorContains(t, err, "cancelled by the service")
	require.Len(t, seen, 2)
	require.Equal(t, int64(4), seen[0].KV.ModRevision)
	require.Equal(t, "DELETE", seen[1].Type)
	seen = nil
	require.NoError(t, c.Watch(context.Background(), "k", 1, func(e kv.WatchEvent) bool { seen = append(seen, e); return false }))
	require.Len(t, seen, 1)
	c = newClient(t, kv.Options{}, respond(http.StatusOK, events))
	require.True(t, kv.IsErrNotDone(c.Watch(context.Background(), "k", 1, func(kv.WatchEvent) bool { return true })), "the connection was closed")
}
