// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package instancelist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
)

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 20 * time.Millisecond
)

// newReader returns a Reader of a platform that responds with the handler.
func newReader(t *testing.T, timeout time.Duration, handler http.HandlerFunc) instancelist.Reader {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return instancelist.Reader{Address: address, Timeout: timeout, Client: server.Client()}
}

func TestReadParsesAddressesAndStates(t *testing.T) {
	const body = `{"entries": [
		{"name": "i1", "kind": "instance", "hall": "h1", "address": "127.0.0.1:1", "operator": "127.0.0.1:2", "state": "live"},
		{"name": "i2", "kind": "instance", "hall": "h2", "address": "127.0.0.1:3", "state": "leaving"},
		{"name": "e1", "kind": "endpoint", "hall": "h1", "address": "127.0.0.1:4", "state": "leaving"},
		{"name": "e2", "kind": "endpoint", "hall": "h1", "address": "127.0.0.1:5", "state": "live"},
		{"name": "x", "kind": "of a later version", "hall": "h1", "address": "127.0.0.1:6", "state": "leaving"}]}`
	paths := make(chan string, 1)
	r := newReader(t, longTimeout, func(w http.ResponseWriter, q *http.Request) {
		paths <- q.Method + " " + q.URL.Path
		_, _ = w.Write([]byte(body))
	})
	list, err := r.Read(context.Background())
	require.NoError(t, err)
	require.Equal(t, "GET /instances", <-paths)
	require.Equal(t, []fleet.Instance{
		{ID: "i1", Hall: "h1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Operator: netip.MustParseAddrPort("127.0.0.1:2")},
		{ID: "i2", Hall: "h2", Address: netip.MustParseAddrPort("127.0.0.1:3")},
	}, list.Instances(), "leaving instances are included")
	require.Equal(t, []string{"e1"}, list.Leaving())
}

func TestEmptyListHasNoInstances(t *testing.T) {
	list, err := newReader(t, longTimeout, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }).Read(context.Background())
	require.NoError(t, err)
	require.Empty(t, list.Instances())
	require.Empty(t, list.Leaving())
}

func TestInvalidResponseIsAnError(t *testing.T) {
	for _, row := range []struct {
		name   string
		status int
		body   string
	}{
		{"refused", http.StatusServiceUnavailable, `{"entries": []}`},
		{"empty", http.StatusOK, ""},
		{"truncated", http.StatusOK, `{"entries": [{"name": "i1"`},
		{"invalid address", http.StatusOK, `{"entries": [{"name": "i1", "address": "nowhere"}]}`},
		{"not JSON", http.StatusOK, "busy"},
		{"too long", http.StatusOK, strings.Repeat(" ", 4<<20) + "{}"},
	} {
		_, err := newReader(t, longTimeout, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(row.status)
			_, _ = w.Write([]byte(row.body))
		}).Read(context.Background())
		require.ErrorAs(t, err, &instancelist.ErrListUnavailable{}, row.name)
	}
}

func TestTimeoutOrLostConnectionIsAnError(t *testing.T) {
	slow := newReader(t, shortTimeout, func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() })
	_, err := slow.Read(context.Background())
	require.ErrorAs(t, err, &instancelist.ErrListUnavailable{})
	aborted := newReader(t, longTimeout, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err = aborted.Read(context.Background())
	require.ErrorAs(t, err, &instancelist.ErrListUnavailable{})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = aborted.Read(ended)
	require.ErrorAs(t, err, &instancelist.ErrListUnavailable{}, "the context has ended")
}
