// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process_test

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/processes"
)

// TestReceivedRequestGetsAnswer guards against valid requests that end without an answer, which happened at a real process.
//
// A keep-alive connection was idle, and its caller sent the next request. The timer of the idle limit, which only considered complete heads that
// had been read, closed the connection while another goroutine read the request and forwarded it. The endpoint ran the request, but its answer
// was not delivered to the caller. A process that had been suspended closed connections of callers well within the limit in the same way, since
// its timers fired before it read the data that had arrived meanwhile. The cause was that idleness was decided by what had been parsed, and not
// by what had arrived on the connection. A stop of the process decided it in the same way.
//
// The log of each connection (requests read, requests answered, who closed the connection and why) and the journal of the endpoint showed that
// each request which ran without an answer was on a connection that the process had closed for its idle limit.
func TestReceivedRequestGetsAnswer(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"next request arrives as the connection reaches the idle limit": requestsAtIdleLimit,
		"head arrives in two parts, before and after the idle limit":    headSplitAcrossIdleLimit,
		"process is suspended while requests arrive":                    requestsWhileSuspended,
		"stop closes idle connections while heads arrive":               headsDuringStop,
		"stop reaches the end of its grace period":                      hangAtEndOfGrace,
		"SIGHUP arrives before the settings are read":                   hangupDuringStart,
		"body stalls":       stalledBody,
		"body is malformed": malformedBody,
		"large body stalls": stalledLargeBody,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

// requestsAtIdleLimit has callers send their next request within a millisecond of the idle limit. The connection may close, but each request that
// ran must have an answer.
func requestsAtIdleLimit(t *testing.T) {
	const (
		limit   = 60 * time.Millisecond
		callers = 60
		rounds  = 50
	)
	i := startInstance(t, limit)
	var mutex sync.Mutex
	answered := make(map[string]bool)
	var running sync.WaitGroup
	for number := range callers {
		running.Go(func() {
			var c *caller
			for round := range rounds {
				if c == nil {
					c = i.dial()
				}
				id := fmt.Sprintf("c-%d-%d", number, round)
				status := c.exchange(requestHead(unsafePath, id, noBody))
				if status == 0 {
					_ = c.Close()
					c = nil
				}
				mutex.Lock()
				answered[id] = status != 0
				mutex.Unlock()
				time.Sleep(limit + time.Duration((number*rounds+round)%41-20)*50*time.Microsecond)
			}
		})
	}
	running.Wait()
	for _, run := range i.plain.Runs() {
		assert.True(t, answered[run.ID], "request %s ran and got no answer", run.ID)
	}
}

// headSplitAcrossIdleLimit sends the first half of a head before the idle limit and the second half after it.
func headSplitAcrossIdleLimit(t *testing.T) {
	const limit = 400 * time.Millisecond
	i := startInstance(t, limit)
	c := i.dial()
	require.Equal(t, http.StatusOK, c.exchange(requestHead(unsafePath, "first", noBody)))
	text := requestHead(unsafePath, "second", noBody)
	time.Sleep(limit / 2)
	_, err := io.WriteString(c, text[:len(text)/2])
	require.NoError(t, err)
	time.Sleep(limit)
	assert.Equal(t, http.StatusOK, c.exchange(text[len(text)/2:]))
}

// requestsWhileSuspended has callers send requests within the idle limit while the process is suspended. The process continues after the limit.
func requestsWhileSuspended(t *testing.T) {
	const (
		limit   = 2 * time.Second
		callers = 60
	)
	i := startInstance(t, limit)
	var connections []*caller
	for number := range callers {
		c := i.dial()
		require.Equal(t, http.StatusOK, c.exchange(requestHead(unsafePath, fmt.Sprintf("first-%d", number), noBody)))
		connections = append(connections, c)
	}
	time.Sleep(limit / 4)
	require.NoError(t, i.process.Signal(syscall.SIGSTOP))
	for number, c := range connections {
		_, err := io.WriteString(c, requestHead(unsafePath, fmt.Sprintf("second-%d", number), noBody))
		require.NoError(t, err)
	}
	time.Sleep(limit)
	require.NoError(t, i.process.Signal(syscall.SIGCONT))
	unanswered := 0
	for _, c := range connections {
		if c.readAnswer() == 0 {
			unanswered++
		}
	}
	assert.Zero(t, unanswered, "unanswered of %d requests that arrived within the idle limit", callers)
}

// leaveNotice is how long a stopping instance continues to serve before it closes its listener and idle connections.
const leaveNotice = 2500 * time.Millisecond

// headsDuringStop sends heads in two parts, on a keep-alive connection and on a new one, before and after a stop closes idle connections.
func headsDuringStop(t *testing.T) {
	i := startInstance(t, 10*time.Second)
	kept := i.dial()
	require.Equal(t, http.StatusOK, kept.exchange(requestHead(unsafePath, "first", noBody)))
	require.NoError(t, i.process.Signal(syscall.SIGTERM))
	time.Sleep(leaveNotice - 500*time.Millisecond)
	fresh := i.dial()
	connections := map[string]*caller{"kept": kept, "fresh": fresh}
	for id, c := range connections {
		text := requestHead(unsafePath, id, noBody)
		_, err := io.WriteString(c, text[:len(text)/2])
		require.NoError(t, err)
	}
	time.Sleep(time.Second)
	for id, c := range connections {
		text := requestHead(unsafePath, id, noBody)
		assert.Equal(t, http.StatusOK, c.exchange(text[len(text)/2:]), "on the %s connection", id)
	}
}

// hangAtEndOfGrace has an endpoint hang on a stream until the grace period of a stop ends. The caller, who has received no part of the answer, must
// get 502.
func hangAtEndOfGrace(t *testing.T) {
	i := startInstance(t, 10*time.Second)
	c := i.dial()
	stream := func(id string) string {
		return requestHead(platformstandin.LongDeadlinePrefix+"x", id, noBody, "X-Model: "+platformstandin.Model+"/a1", "X-Token-Usage: 100,20")
	}
	require.True(t, processes.Poll(waitTimeout, func() bool { return c.exchange(stream("first")) == http.StatusOK }))
	i.model.SetFaults(platformstandin.WorkerFaults{Hangs: 1})
	require.NoError(t, i.process.Signal(syscall.SIGTERM))
	assert.Equal(t, http.StatusBadGateway, c.exchange(stream("second")))
	select {
	case <-i.process.Exited():
	case <-time.After(shutdownGrace):
		assert.Fail(t, "the process has not ended")
	}
}

// hangupDuringStart sends SIGHUP to a starting process that waits for its settings, which it reads from a pipe.
func hangupDuringStart(t *testing.T) {
	i := newInstance(t, time.Second)
	pipe := filepath.Join(i.folder, "settings")
	require.NoError(t, unix.Mkfifo(pipe, 0o600))
	i.start(processes.Command{Name: "instance", Program: program(t), Folder: i.folder, Arguments: []string{"--settings", pipe}})
	var descriptor int
	opened := func() bool {
		var err error
		descriptor, err = unix.Open(pipe, unix.O_WRONLY|unix.O_NONBLOCK, 0)
		return err == nil
	}
	require.True(t, processes.Poll(waitTimeout, opened), "the process opens its settings")
	require.NoError(t, i.process.Signal(syscall.SIGHUP))
	_, err := unix.Write(descriptor, i.settings())
	require.NoError(t, err)
	require.NoError(t, unix.Close(descriptor))
	i.waitReady()
	assert.False(t, i.process.HasExited())
}

// stalledBody sends a part of a body and then nothing more.
func stalledBody(t *testing.T) {
	i := startInstance(t, time.Second)
	c := i.dial()
	began := time.Now()
	assert.Equal(t, http.StatusRequestTimeout, c.exchange(requestHead(unsafePath, "slow", "X-Deadline-Ms: 700", "Content-Length: 10")+"half"))
	assert.Less(t, time.Since(began), shutdownGrace, "the request ends at its deadline")
	assert.Empty(t, i.plain.Runs())
}

// stalledLargeBody sends more of a body than the instance buffers in memory, so that the rest is streamed to the endpoint, and then nothing more.
func stalledLargeBody(t *testing.T) {
	const sent = 300 << 10
	i := startInstance(t, time.Second)
	c := i.dial()
	began := time.Now()
	status := c.exchange(requestHead(unsafePath, "large", "X-Deadline-Ms: 700", fmt.Sprintf("Content-Length: %d", 2*sent)) + strings.Repeat("x", sent))
	assert.Contains(t, []int{http.StatusGatewayTimeout, http.StatusBadGateway, http.StatusServiceUnavailable}, status)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection is closed without waiting for the rest of the body")
	assert.Less(t, time.Since(began), shutdownGrace)
}

// malformedBody sends a chunked body whose first chunk size is not a number.
func malformedBody(t *testing.T) {
	i := startInstance(t, time.Second)
	c := i.dial()
	assert.Equal(t, http.StatusBadRequest, c.exchange(requestHead(unsafePath, "odd", "Transfer-Encoding: chunked")+"no number\r\n"))
	assert.Empty(t, i.plain.Runs())
}
