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
	return relay.New(relay.Options{
		Control: relay.Control{
			Submit: func(r fleet.Request) <-chan control.Answer {
				answers := make(chan control.Answer, 1)
				answers <- control.Answer{Granted: true, NotAfter: now().Add(time.Hour), Ticket: fleet.Ticket{ID: "t", RequestID: r.ID, Endpoint: "e", Incarnation: fmt.Sprint(*sent)}}
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
				*sent++
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
