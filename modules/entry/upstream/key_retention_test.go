// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

// TestKeysWithoutConnectionsAreDeleted: a request may use a key after Retire, and nothing retires the key again.
func TestKeysWithoutConnectionsAreDeleted(t *testing.T) {
	unblock := make(chan struct{})
	e := newEndpoint(t, func(number int64) string {
		if number > 100 {
			<-unblock
		}
		return okResponse("", "x")
	})
	now := time.Now()
	client := upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: time.Second, Now: func() time.Time { return now }})
	target := e.target()
	for i := range 100 {
		target.Key = fmt.Sprint("gone", i)
		client.Retire(target.Key)
		exchange(t, client, upstream.Call{Target: target, Request: request("")})
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		target := e.target()
		answer, err := client.Do(context.Background(), upstream.Call{Target: target, Request: request("")})
		if assert.NoError(t, err) {
			answer.Close()
		}
	}()
	for e.requests.Load() <= 100 {
		time.Sleep(time.Millisecond)
	}
	client.CloseIdle(now.Add(time.Hour))
	assert.Equal(t, 1, client.Keys(), "only the key in use")
	close(unblock)
	<-finished
}
