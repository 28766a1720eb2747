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
	// maxAnswerBytes is the maximum size of an answer that is forwarded.
	maxAnswerBytes = 64 << 20
	waitLimit      = 20 * time.Second
)

// largeAnswers is an endpoint of a plain service. Its answers have the given length, stated or not, and end once released is closed.
type largeAnswers struct {
	length int64
	stated bool
	// head is the stated length of an answer to HEAD.
	head     int64
	released chan struct{}
	// read counts the bytes read from all answers.
	read atomic.Int64
	// small makes the next answers small and complete at once.
	small atomic.Bool
}

const smallBytes = 4096

// largeBody is the body of an answer of largeAnswers.
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

// service returns a relay to this endpoint.
func (l *largeAnswers) service(silent time.Duration) *relay.Service {
	b := newTestRelay()
	return relay.New(relay.Options{
		Control: relay.Control{Submit: b.submit, Withdraw: func(string) {}, ReturnTicket: func(string) {}, RecordEvent: func(fleet.Event) {}},
		Dialect: engine.Dialect{Start: l.start, Cancel: func(context.Context, fleet.Endpoint, string) error { return nil }},
		Metrics: metric.New(metric.Options{MaxCallers: 5, MaxClasses: 5}), MaxAttempts: 1, RetryShare: 0.1, SlowReader: time.Minute,
		EndpointSilent: silent, CancelLife: time.Second, Now: time.Now,
	})
}

// countingCaller is a caller that counts the received bytes.
type countingCaller struct {
	header http.Header
	bytes  int64
}

func (c *countingCaller) Header() http.Header { return c.header }

func (c *countingCaller) WriteHeader(int) {}

func (c *countingCaller) Write(p []byte) (int, error) {
	c.bytes += int64(len(p))
	return len(p), nil
}

func serveLarge(ctx context.Context, s *relay.Service) (int64, error) {
	caller := &countingCaller{header: http.Header{}}
	err := s.Serve(ctx, caller, relay.Job{Request: fleet.Request{ID: "q"}, Method: http.MethodGet, Path: "/tickets/1", Plain: true})
	return caller.bytes, err
}

func TestTooLongAnswerIsRejectedNotTruncated(t *testing.T) {
	for _, stated := range []bool{true, false} {
		l := &largeAnswers{length: maxAnswerBytes + 1, stated: stated, released: make(chan struct{})}
		close(l.released)
		s := l.service(time.Minute)
		got, err := serveLarge(context.Background(), s)
		s.Wait()
		require.True(t, relay.IsErrUnknown(err), "%v", err)
		require.Zero(t, got)
	}
}

func TestAnswerToHeadIgnoresStatedLength(t *testing.T) {
	l := &largeAnswers{length: 0, head: maxAnswerBytes + 1, released: make(chan struct{})}
	close(l.released)
	caller := &countingCaller{header: http.Header{}}
	job := relay.Job{Request: fleet.Request{ID: "q"}, Method: http.MethodHead, Path: "/tickets/1", Plain: true}
	require.NoError(t, l.service(time.Minute).Serve(context.Background(), caller, job))
	require.Zero(t, caller.bytes)
}

func TestConcurrentLargeAnswersAreBoundedInBytes(t *testing.T) {
	const (
		requests = 6
		// maxHeld is the maximum number of bytes held of all answers at a time: 128 MiB and some KiB for each answer.
		maxHeld = 128<<20 + requests<<16
	)
	for _, stated := range []bool{true, false} {
		l := &largeAnswers{length: maxAnswerBytes, stated: stated, released: make(chan struct{})}
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
		require.Eventually(t, func() bool { return l.read.Load() >= 2*maxAnswerBytes }, waitLimit, time.Millisecond)
		require.Never(t, func() bool { return l.read.Load() > maxHeld }, 200*time.Millisecond, time.Millisecond, "the other answers must wait")
		close(l.released)
		done.Wait()
		require.EqualValues(t, requests*maxAnswerBytes, got.Load(), "each answer is complete in the end")
	}
}

func TestSmallAnswerDoesNotWaitForLargeAnswers(t *testing.T) {
	l := &largeAnswers{length: maxAnswerBytes, stated: true, released: make(chan struct{})}
	s := l.service(time.Minute)
	var done sync.WaitGroup
	for range 3 {
		done.Go(func() { _, _ = serveLarge(context.Background(), s) })
	}
	require.Eventually(t, func() bool { return l.read.Load() >= 2*maxAnswerBytes }, waitLimit, time.Millisecond)
	l.small.Store(true)
	got, err := serveLarge(context.Background(), s)
	require.NoError(t, err)
	require.EqualValues(t, smallBytes, got)
	close(l.released)
	done.Wait()
}

func TestCancelledWaitingAnswerLeavesRoomToOthers(t *testing.T) {
	l := &largeAnswers{length: maxAnswerBytes, stated: true, released: make(chan struct{})}
	s := l.service(time.Minute)
	var done sync.WaitGroup
	for range 2 {
		done.Go(func() { _, _ = serveLarge(context.Background(), s) })
	}
	require.Eventually(t, func() bool { return l.read.Load() >= 2*maxAnswerBytes }, waitLimit, time.Millisecond)
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
	require.EqualValues(t, maxAnswerBytes, got)
}

func TestSilentEndpointIsCancelledWithinAnswer(t *testing.T) {
	for _, length := range []int64{10, maxAnswerBytes} {
		l := &largeAnswers{length: length, released: make(chan struct{})}
		s := l.service(50 * time.Millisecond)
		_, err := serveLarge(context.Background(), s)
		s.Wait()
		require.True(t, relay.IsErrUnknown(err), "%v", err)
	}
}
