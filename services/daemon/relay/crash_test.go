// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/once"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

// newCrashingRelay returns a relay whose endpoints break off all requests and, if refuses is true, refuse connections after that. Each attempt gets
// another incarnation.
func newCrashingRelay(refuses bool, now func() time.Time, sent *int) *relay.Service {
	return newCrashingRelayWith(refuses, now, func() string {
		*sent++
		return fmt.Sprint(*sent)
	}, func() {})
}

// newCrashingRelayWith is newCrashingRelay with functions that return the incarnation for the next attempt and that run during the attempt.
func newCrashingRelayWith(refuses bool, now func() time.Time, nextIncarnation func() string, during func()) *relay.Service {
	return relay.New(relay.Options{
		Control: relay.Control{
			Submit: func(r fleet.Request) <-chan control.Answer {
				answers := make(chan control.Answer, 1)
				answers <- control.Answer{Granted: true, NotAfter: now().Add(time.Hour), Ticket: fleet.Ticket{ID: "t", RequestID: r.ID, Endpoint: "e", Incarnation: nextIncarnation()}}
				return answers
			},
			Withdraw: func(string) {}, ReturnTicket: func(string) {}, RecordEvent: func(fleet.Event) {},
		},
		Claims: relay.Claims{
			Claim:   func(context.Context, string, string) once.Result { return once.Claimed },
			Release: func(context.Context, string, string) error { return nil },
		},
		Dialect: engine.Dialect{
			Start: func(context.Context, engine.Call) (*http.Response, error) {
				during()
				return nil, errors.New("connection reset")
			},
			Cancel: func(context.Context, fleet.Endpoint, string) error { return nil },
		},
		RefusesConnections: func(context.Context, netip.AddrPort) bool { return refuses },
		Metrics:            metric.New(metric.Options{MaxCallers: 5, MaxClasses: 5}), MaxAttempts: 1, SlowReader: time.Minute, EndpointSilent: time.Minute,
		CancelLife: time.Second, Now: now,
	})
}

// Guards against a request that crashes its endpoints: the daemon sent it to one endpoint after the other, each time its caller repeated it.
func TestRequestThatCrashesEndpointsIsHeldBack(t *testing.T) {
	for name, refuses := range map[string]bool{"the endpoints end": true, "only connections are reset": false} {
		t.Run(name, func(t *testing.T) {
			now, sent := time.Now(), 0
			service := newCrashingRelay(refuses, func() time.Time { return now }, &sent)
			for range 8 {
				err := service.Serve(t.Context(), httptest.NewRecorder(), relay.Job{Request: fleet.Request{ID: "q"}, Method: "POST", Path: "/p", Body: []byte("b"), Plain: true})
				require.Error(t, err)
				now = now.Add(time.Second)
			}
			service.Wait()
			if !refuses {
				assert.Equal(t, 8, sent)
				return
			}
			assert.Equal(t, 3, sent)
			err := service.Serve(t.Context(), httptest.NewRecorder(), relay.Job{Request: fleet.Request{ID: "q"}, Method: "POST", Path: "/p", Body: []byte("b"), Plain: true})
			var refused relay.ErrNotRun
			require.ErrorAs(t, err, &refused)
			assert.Equal(t, fleet.ReasonCrashesEndpoints, refused.Reason)
			assert.Positive(t, refused.RetryAfter)
			err = service.Serve(t.Context(), httptest.NewRecorder(), relay.Job{Request: fleet.Request{ID: "q"}, Method: "POST", Path: "/p", Body: []byte("c"), Plain: true})
			assert.False(t, relay.IsErrNotRun(err), "another body is another request")
		})
	}
}

// TestRequestOfManyCallersThatCrashesEndpointsIsHeldBack has four callers send a request at the same moment, so that it crashes four endpoints at
// once, which is also what the loss of a rack looks like.
func TestRequestOfManyCallersThatCrashesEndpointsIsHeldBack(t *testing.T) {
	const callers = 4
	var mutex sync.Mutex
	now, sent, started := time.Now(), 0, make(chan struct{})
	service := newCrashingRelayWith(true, func() time.Time {
		mutex.Lock()
		defer mutex.Unlock()
		return now
	}, func() string {
		mutex.Lock()
		defer mutex.Unlock()
		sent++
		if sent == callers {
			close(started)
		}
		return fmt.Sprint(sent)
	}, func() { <-started })
	serveAll := func() {
		var serving sync.WaitGroup
		for range callers {
			serving.Go(func() {
				err := service.Serve(t.Context(), httptest.NewRecorder(), relay.Job{Request: fleet.Request{ID: "q"}, Method: "POST", Path: "/p", Body: []byte("b"), Plain: true})
				assert.Error(t, err)
			})
		}
		serving.Wait()
	}
	for range 5 {
		serveAll()
		mutex.Lock()
		now = now.Add(1500 * time.Millisecond)
		mutex.Unlock()
	}
	service.Wait()
	assert.LessOrEqual(t, sent, callers+1, "the second time, the request is sent once more as a trial")
}
