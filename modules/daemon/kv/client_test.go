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

func client(t *testing.T, o kv.Options, handler http.HandlerFunc) *kv.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	o.Addresses = []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}
	return kv.New(o)
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func put(c *kv.Client) error {
	_, err := c.Txn(context.Background(), kv.TxnRequest{Success: []kv.Op{{Put: &kv.PutRequest{Key: []byte("k")}}}})
	return err
}

func TestWhatTheServiceRefusesIsNotDone(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		c := client(t, kv.Options{}, answer(status, "no"))
		err := put(c)
		require.True(t, kv.IsErrNotDone(err), "%d: %v", status, err)
		require.Equal(t, kv.Counts{Writes: 1, NotDone: 1}, c.Counts())
	}
}

func TestWhatMayHaveBeenDoneIsUnknown(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"server error":  answer(http.StatusInternalServerError, "oops"),
		"gateway error": answer(http.StatusBadGateway, "oops"),
		"no JSON":       answer(http.StatusOK, "hello"),
		"half an answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			_, _ = w.Write([]byte("{"))
		},
		"no answer": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		c := client(t, kv.Options{}, handler)
		err := put(c)
		require.True(t, kv.IsErrUnknown(err), "%s: %v", name, err)
		require.Equal(t, kv.Counts{Writes: 1, Unknown: 1}, c.Counts(), name)
	}
}

func TestAnAnswerThatIsLateIsUnknown(t *testing.T) {
	release := make(chan struct{})
	c := client(t, kv.Options{Timeout: 50 * time.Millisecond}, func(http.ResponseWriter, *http.Request) { <-release })
	err := put(c)
	close(release)
	require.True(t, kv.IsErrUnknown(err), "%v", err)
}

func TestAServiceThatIsNotThereDidNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	require.True(t, kv.IsErrNotDone(put(kv.New(kv.Options{Addresses: []netip.AddrPort{address}}))))
	require.True(t, kv.IsErrNotDone(put(kv.New(kv.Options{}))), "no address is set")
}

func TestACallBeyondTheOwnRateIsNotSent(t *testing.T) {
	sent := 0
	c := client(t, kv.Options{WritesPerSecond: 1, Timeout: 50 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
		sent++
		_, _ = w.Write([]byte("{}"))
	})
	require.NoError(t, put(c))
	err := put(c)
	require.True(t, kv.IsErrNotDone(err), "%v", err)
	require.ErrorContains(t, err, "this client's own rate")
	require.Equal(t, 1, sent)
	require.Equal(t, kv.Counts{Writes: 2, Throttle: 1}, c.Counts())
	_, _, err = c.Get(context.Background(), "k")
	require.NoError(t, err, "reads have a rate of their own")
}

func TestALeaseThatIsGoneIsTold(t *testing.T) {
	c := client(t, kv.Options{}, answer(http.StatusNotFound, "etcdserver: requested lease not found"))
	require.True(t, kv.IsErrLeaseGone(put(c)))
	c = client(t, kv.Options{}, answer(http.StatusOK, `{"result": {"ID": "7", "TTL": "0"}}`))
	require.Equal(t, kv.ErrLeaseGone{ID: 7}, c.KeepAlive(context.Background(), 7))
	c = client(t, kv.Options{}, answer(http.StatusOK, `{"result": {"ID": "7", "TTL": "10"}}`))
	require.NoError(t, c.KeepAlive(context.Background(), 7))
}

func TestCallsGoToEachAddressInTurn(t *testing.T) {
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
		require.NoError(t, put(c))
	}
	require.Equal(t, map[string]int{o.Addresses[0].String(): 2, o.Addresses[1].String(): 2}, seen)
}

func TestAWatchEndsByTheServiceOrItsReader(t *testing.T) {
	events := `{"result": {"created": true}}{"result": {"events": [{"kv": {"key": "aw==", "mod_revision": "4"}}, {"type": "DELETE", "kv": {"key": "aw=="}}]}}`
	c := client(t, kv.Options{}, answer(http.StatusOK, events+`{"result": {"canceled": true}}`))
	var seen []kv.WatchEvent
	err := c.Watch(context.Background(), "k", 1, func(e kv.WatchEvent) bool { seen = append(seen, e); return true })
	require.ErrorContains(t, err, "cancelled by the service")
	require.Len(t, seen, 2)
	require.Equal(t, int64(4), seen[0].KV.ModRevision)
	require.Equal(t, "DELETE", seen[1].Type)
	seen = nil
	require.NoError(t, c.Watch(context.Background(), "k", 1, func(e kv.WatchEvent) bool { seen = append(seen, e); return false }))
	require.Len(t, seen, 1)
	c = client(t, kv.Options{}, answer(http.StatusOK, events))
	require.True(t, kv.IsErrNotDone(c.Watch(context.Background(), "k", 1, func(kv.WatchEvent) bool { return true })), "the connection ended")
}
