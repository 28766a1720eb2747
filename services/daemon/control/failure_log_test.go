// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/tests/standin"
)

const ownerOfX = "/test/owner/h1/x"

// failingKV returns a client of a key-value service that refuses each call for which fails returns true.
func failingKV(t *testing.T, fails func(path, body string) bool) *kv.Client {
	handler := standin.NewKV().Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || fails(r.URL.Path, string(body)) {
			http.Error(w, "test", http.StatusServiceUnavailable)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return kv.New(kv.Options{Addresses: []netip.AddrPort{address}, ReadsPerSecond: 1000, WritesPerSecond: 1000})
}

// failures returns the log lines about failed calls to the platform.
func (w *harness) failures() []*logrus.Entry {
	var out []*logrus.Entry
	for _, line := range w.logHook.AllEntries() {
		if line.Message == "a call to the platform failed" {
			out = append(out, line)
		}
	}
	return out
}

// awaitFailure waits for the first log line about a failed call and checks its fields.
func (w *harness) awaitFailure(call, pool string) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return len(w.failures()) > 0 }, timeout, time.Millisecond)
	line := w.failures()[0]
	require.EqualValues(w.t, call, line.Data["call"])
	require.Equal(w.t, pool, line.Data["pool"])
	require.NotEmpty(w.t, line.Data["reason"])
	require.Error(w.t, line.Data[logrus.ErrorKey].(error))
	require.Equal(w.t, logrus.WarnLevel, line.Level)
}

// heartbeatOfI2 announces that another instance holds pool x under a high term.
func heartbeatOfI2() fleet.Envelope {
	i2 := fleet.Instance{ID: "i2", Hall: "h1", Address: netip.MustParseAddrPort("127.0.0.1:2")}
	return fleet.Envelope{From: "i2", Boot: 1, Heartbeat: &fleet.Heartbeat{Instance: i2, Stamp: 1, HeldPools: []fleet.HeldPool{{Pool: "h1/x", Term: 1 << 40}}}}
}

func TestFailedOwnershipCallsAreLogged(t *testing.T) {
	for _, row := range []struct {
		call, pool, path, key string
		// after is the number of matching calls that succeed before the failure.
		after int64
		// then is called once the pool is owned.
		then func(w *harness)
	}{
		{"grant", "", "/v3/lease/grant", "", 0, nil},
		{"keepalive", "", "/v3/lease/keepalive", "", 0, nil},
		{"read owner", "h1/x", "/v3/kv/range", ownerOfX, 0, nil},
		{"acquire", "h1/x", "/v3/kv/txn", "", 0, nil},
		{"read lease", "h1/x", "/v3/kv/range", leaseOfX, 0, func(w *harness) { w.Receive(heartbeatOfI2()) }},
		{"release", "h1/x", "/v3/kv/txn", "", 1, func(w *harness) { w.Receive(heartbeatOfI2()) }},
	} {
		t.Run(row.call, func(t *testing.T) {
			var calls, transactions atomic.Int64
			client := failingKV(t, func(path, body string) bool {
				if path == "/v3/kv/txn" {
					transactions.Add(1)
				}
				return path == row.path && strings.Contains(body, base64.StdEncoding.EncodeToString([]byte(row.key))) && calls.Add(1) > row.after
			})
			w := newHarnessWithEndpoints(t, unfencedEndpoints()[:1], client)
			w.advance(takeoverDelay)
			if row.then != nil {
				require.Eventually(t, func() bool { return transactions.Load() > 0 }, timeout, time.Millisecond)
				row.then(w)
			}
			w.awaitFailure(row.call, row.pool)
		})
	}
}

func TestFailedSettlementIsLogged(t *testing.T) {
	var transactions atomic.Int64
	client := failingKV(t, func(path, _ string) bool { return path == "/v3/kv/txn" && transactions.Add(1) == 3 })
	stored := kv.TxnRequest{Success: []kv.Op{{Put: &kv.PutRequest{Key: []byte(ownerOfX), Value: []byte(`{"holder":"i2","boot":1}`)}}}}
	_, err := client.Txn(context.Background(), stored)
	require.NoError(t, err)
	w := newHarnessWithEndpoints(t, unfencedEndpoints()[:1], client)
	w.Receive(fleet.Envelope{From: "i2", Boot: 1, Release: &fleet.Release{Pool: "h1/x", Term: 9}})
	w.awaitFailure("settle", "h1/x")
}

func TestUndecodableStoredOwnerIsLogged(t *testing.T) {
	client := failingKV(t, func(string, string) bool { return false })
	_, err := client.Txn(context.Background(), kv.TxnRequest{Success: []kv.Op{{Put: &kv.PutRequest{Key: []byte(ownerOfX), Value: []byte("{")}}}})
	require.NoError(t, err)
	w := newHarnessWithEndpoints(t, unfencedEndpoints()[:1], client)
	w.advance(takeoverDelay)
	w.awaitFailure("read owner", "h1/x")
	require.ErrorContains(t, w.failures()[0].Data[logrus.ErrorKey].(error), ownerOfX)
}

func TestFailedReadOfPlatformListIsLogged(t *testing.T) {
	w := newHarnessWith(t, func(o *control.Options) {
		o.KV = failingKV(t, func(string, string) bool { return true })
		o.ListInterval = time.Millisecond
		o.List = func(context.Context) (instancelist.List, error) { return instancelist.List{}, errors.New("test") }
	})
	w.awaitFailure("list", "")
}

func TestRepeatedFailuresAreSuppressedAndCounted(t *testing.T) {
	var grants atomic.Int64
	client := failingKV(t, func(path, _ string) bool {
		if path == "/v3/lease/grant" {
			grants.Add(1)
		}
		return true
	})
	w := newHarnessWithEndpoints(t, unfencedEndpoints()[:1], client)
	w.advance(takeoverDelay)
	w.awaitFailure("grant", "")
	const retry, pause = time.Second, 10 * time.Second
	for asked := int64(2); asked <= int64(pause/retry); asked++ {
		w.advance(retry)
		require.Eventually(t, func() bool { return grants.Load() == asked }, timeout, time.Millisecond)
	}
	require.Len(t, w.failures(), 1)
	w.advance(retry)
	require.Eventually(t, func() bool { return len(w.failures()) == 2 }, timeout, time.Millisecond)
	// The clock may advance between the previous call and its log line. That line is then the second one.
	require.Contains(t, []int{8, 9}, w.failures()[1].Data["suppressed"])
}
