// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

const (
	// mostBytes is the largest answer that is passed on.
	mostBytes = 64 << 20
	waitLimit = 20 * time.Second
)

// largeAnswers is an endpoint of a plain service whose answers have a length, stated or not, and end when they are released.
type largeAnswers struct {
	length int64
	stated bool
	// head is what an answer without a body states.
	head     int64
	released chan struct{}
	// read counts the bytes that were read of all answers.
	read atomic.Int64
	// small has the next answers be small and whole at once.
	small atomic.Bool
}

const smallBytes = 4096

// largeBody is the body of one such answer.
type largeBody struct {
	of   *largeAnswers
	left int64
	ctx  context.Context
}

func (b *largeBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		select {
		case <-b.of.released:
			return 0, io.EOF
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	n := min(b.left, int64(len(p)))
	b.left -= n
	b.of.read.Add(n)
	return int(n), nil
}

func (b *largeBody) Close() error { return nil }

func (l *largeAnswers) start(ctx context.Context, _ engine.Call) (*http.Response, error) {
	if l.small.Load() {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, smallBytes)))}, nil
	}
	stated := int64(-1)
	if l.head > 0 {
		stated = l.head
	}
	if l.stated {
		stated = l.length
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: stated, Body: &largeBody{of: l, left: l.length, ctx: ctx}}, nil
}

// service makes a relay to this endpoint.
func (l *largeAnswers) service(silent time.Duration) *relay.Service {
	b := newBench()
	return relay.New(relay.Options{
		Control: relay.Control{Submit: b.submit, Abandon: func(string) {}, Finish: func(string) {}, Note: func(fleet.Event) {}},
		Dialect: engine.Dialect{Start: l.start, Cancel: func(context.Context, fleet.Endpoint, string) error { return nil }},
		Metrics: metric.New(metric.Options{MaxCallers: 5, MaxClasses: 5}), MaxAttempts: 1, RetryShare: 0.1, SlowReader: time.Minute,
		EndpointSilent: silent, CancelLife: time.Second, Now: time.Now,
	})
}

// counted is a caller that counts what it gets.
type counted struct {
	header http.Header
	bytes  int64
}

func (c *counted) Header() http.Header { return c.header }

func (c *counted) WriteHeader(int) {}

func (c *counted) Write(p []byte) (int, error) {
	c.bytes += int64(len(p))
	return len(p), nil
}

func serveLarge(ctx context.Context, s *relay.Service) (int64, error) {
	caller := &counted{header: http.Header{}}
	err := s.Serve(ctx, caller, relay.Job{Request: fleet.Request{ID: "q"}, Method: http.MethodGet, Path: "/tickets/1", Plain: true})
	return caller.bytes, err
}

func TestAnAnswerOverItsBoundIsNotPassedOnCut(t *testing.T) {
	for _, stated := range []bool{true, false} {
		l := &largeAnswers{length: mostBytes + 1, stated: stated, released: make(chan struct{})}
		close(l.released)
		s := l.service(time.Minute)
		got, err := serveLarge(context.Background(), s)
		s.Wait()
		require.True(t, relay.IsErrUnknown(err), "%v", err)
		require.Zero(t, got)
	}
}

func TestAnAnswerToHeadHasNoBodyHoweverLongItSaysItIs(t *testing.T) {
	l := &largeAnswers{length: 0, head: mostBytes + 1, released: make(chan struct{})}
	close(l.released)
	caller := &counted{header: http.Header{}}
	job := relay.Job{Request: fleet.Request{ID: "q"}, Method: http.MethodHead, Path: "/tickets/1", Plain: true}
	require.NoError(t, l.service(time.Minute).Serve(context.Background(), caller, job))
	require.Zero(t, caller.bytes)
}

func TestLargeAnswersAtOnceAreBoundedInBytes(t *testing.T) {
	const (
		requests = 6
		// most is what may be held of them at a time: 128 MiB, and of each some KiB more.
		most = 128<<20 + requests<<16
	)
	for _, stated := range []bool{true, false} {
		l := &largeAnswers{length: mostBytes, stated: stated, released: make(chan struct{})}
		s := l.service(time.Minute)
		var got atomic.Int64
		var done sync.WaitGroup
		for range requests {
			done.Go(func() {
				one, err := serveLarge(context.Background(), s)
				if err == nil {
					got.Add(one)
				}
			})
		}
		require.Eventually(t, func() bool { return l.read.Load() >= 2*mostBytes }, waitLimit, time.Millisecond)
		require.Never(t, func() bool { return l.read.Load() > most }, 200*time.Millisecond, time.Millisecond, "others wait")
		close(l.released)
		done.Wait()
		require.EqualValues(t, requests*mostBytes, got.Load(), "each comes whole in the end")
	}
}

func TestASmallAnswerDoesNotWaitForLargeOnes(t *testing.T) {
	l := &largeAnswers{length: mostBytes, stated: true, released: make(chan struct{})}
	s := l.service(time.Minute)
	var done sync.WaitGroup
	for range 3 {
		done.Go(func() { _, _ = serveLarge(context.Background(), s) })
	}
	require.Eventually(t, func() bool { return l.read.Load() >= 2*mostBytes }, waitLimit, time.Millisecond)
	l.small.Store(true)
	got, err := serveLarge(context.Background(), s)
	require.NoError(t, err)
	require.EqualValues(t, smallBytes, got)
	close(l.released)
	done.Wait()
}

func TestACallerThatGoesWhileItsAnswerWaitsLeavesTheRoomToOthers(t *testing.T) {
	l := &largeAnswers{length: mostBytes, stated: true, released: make(chan struct{})}
	s := l.service(time.Minute)
	var done sync.WaitGroup
	for range 2 {
		done.Go(func() { _, _ = serveLarge(context.Background(), s) })
	}
	require.Eventually(t, func() bool { return l.read.Load() >= 2*mostBytes }, waitLimit, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := serveLarge(ctx, s)
		gone <- err
	}()
	cancel()
	require.Error(t, <-gone)
	close(l.released)
	done.Wait()
	got, err := serveLarge(context.Background(), s)
	require.NoError(t, err)
	require.EqualValues(t, mostBytes, got)
}

func TestAnEndpointThatFallsSilentWithinAnAnswerIsGivenUp(t *testing.T) {
	for _, length := range []int64{10, mostBytes} {
		l := &largeAnswers{length: length, released: make(chan struct{})}
		s := l.service(50 * time.Millisecond)
		_, err := serveLarge(context.Background(), s)
		s.Wait()
		require.True(t, relay.IsErrUnknown(err), "%v", err)
	}
}
