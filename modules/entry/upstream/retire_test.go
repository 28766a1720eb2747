// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

// TestNothingIsSentToKeyRetiredDuringDial: an endpoint is removed after a request was assigned to it, while the connection is still being
// set up.
func TestNothingIsSentToKeyRetiredDuringDial(t *testing.T) {
	e := newEndpoint(t, func(int64) string { return okResponse("", "answer") })
	var client *upstream.Client
	client = upstream.NewClient(upstream.Options{
		MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now,
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			client.Retire(e.target().Key)
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address.String())
		},
	})
	answer, err := client.Do(context.Background(), upstream.Call{Target: e.target(), Request: request("body")})
	if answer != nil {
		answer.Close()
	}
	assert.True(t, upstream.NotSent(err), "%v", err)
	assert.Zero(t, e.requests.Load())
}
