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

// TestARequestThatWasReadGetsAnAnswer is about requests of callers that did nothing wrong and got no answer.
//
// What users saw: real processes, one request that ended without an answer. The order of events in our own record: a kept connection
// rests; its caller sends the next request; the timer of the idle limit, which knows only whole heads that have been read, closes the
// connection, while another goroutine reads the request and passes it on; the endpoint runs it, and nobody gets its answer. A process
// that stood still did so to callers that kept well within the limit, since its timers fired before it read what had come meanwhile. The
// cause: whether a connection is idle was decided beside the connection, from what had been parsed, and not from what had arrived.
// A stop decided by the same.
//
// The evidence: the account of each connection (requests read, requests with an answer, who closed it why), and the endpoint's own
// journal: each request that ran and got no answer stood on a connection that this process had closed for its idle limit.
func TestARequestThatWasReadGetsAnAnswer(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"callers come back as their connections reach the idle limit": comeBackAtTheIdleLimit,
		"a head comes in two pieces, about the idle limit":            twoPiecesAboutTheIdleLimit,
		"the process stands still while requests come":                standStill,
		"a stop closes idle connections while heads come":             headsDuringAStop,
		"a stop reaches the end of its grace":                         endOfTheGrace,
		"a hang-up comes before the settings are read":                hangupDuringTheStart,
		"a body stops coming":                                         bodyThatStops,
		"a body cannot be read":                                       bodyThatCannotBeRead,
		"a large body stops coming":                                   largeBodyThatStops,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

// comeBackAtTheIdleLimit has callers send their next request within a millisecond of the limit. The connection may close, but what ran
// has its answer.
func comeBackAtTheIdleLimit(t *testing.T) {
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
				status := c.ask(head(unsafe, id, noBody))
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
		assert.True(t, answered[run.ID], "%s ran and got no answer", run.ID)
	}
}

func twoPiecesAboutTheIdleLimit(t *testing.T) {
	const limit = 400 * time.Millisecond
	i := startInstance(t, limit)
	c := i.dial()
	require.Equal(t, http.StatusOK, c.ask(head(unsafe, "first", noBody)))
	text := head(unsafe, "second", noBody)
	time.Sleep(limit / 2)
	_, err := io.WriteString(c, text[:len(text)/2])
	require.NoError(t, err)
	time.Sleep(limit)
	assert.Equal(t, http.StatusOK, c.ask(text[len(text)/2:]))
}

// standStill has callers send while the process stands still, within the idle limit; it goes on after the limit.
func standStill(t *testing.T) {
	const (
		limit   = 2 * time.Second
		callers = 60
	)
	i := startInstance(t, limit)
	var all []*caller
	for number := range callers {
		c := i.dial()
		require.Equal(t, http.StatusOK, c.ask(head(unsafe, fmt.Sprintf("first-%d", number), noBody)))
		all = append(all, c)
	}
	time.Sleep(limit / 4)
	require.NoError(t, i.process.Signal(syscall.SIGSTOP))
	for number, c := range all {
		_, err := io.WriteString(c, head(unsafe, fmt.Sprintf("second-%d", number), noBody))
		require.NoError(t, err)
	}
	time.Sleep(limit)
	require.NoError(t, i.process.Signal(syscall.SIGCONT))
	lost := 0
	for _, c := range all {
		if c.answer() == 0 {
			lost++
		}
	}
	assert.Zero(t, lost, "of %d requests that came within the idle limit", callers)
}

// noticeTime is how long an instance that stops serves on before it closes its listener and idle connections.
const noticeTime = 2500 * time.Millisecond

// headsDuringAStop has a kept and a new connection send their heads in two pieces, about the moment at which a stop closes what is idle.
func headsDuringAStop(t *testing.T) {
	i := startInstance(t, 10*time.Second)
	kept := i.dial()
	require.Equal(t, http.StatusOK, kept.ask(head(unsafe, "first", noBody)))
	require.NoError(t, i.process.Signal(syscall.SIGTERM))
	time.Sleep(noticeTime - 500*time.Millisecond)
	fresh := i.dial()
	all := map[string]*caller{"kept": kept, "fresh": fresh}
	for id, c := range all {
		text := head(unsafe, id, noBody)
		_, err := io.WriteString(c, text[:len(text)/2])
		require.NoError(t, err)
	}
	time.Sleep(time.Second)
	for id, c := range all {
		text := head(unsafe, id, noBody)
		assert.Equal(t, http.StatusOK, c.ask(text[len(text)/2:]), "on the %s connection", id)
	}
}

// endOfTheGrace has an endpoint hang on a stream when the grace of a stop ends: its caller, who has no part of an answer yet, is told.
func endOfTheGrace(t *testing.T) {
	i := startInstance(t, 10*time.Second)
	c := i.dial()
	stream := func(id string) string {
		return head(platformstandin.PatientPrefix+"x", id, noBody, "X-Model: "+platformstandin.Model+"/a1", "X-Token-Usage: 100,20")
	}
	require.True(t, processes.Poll(patience, func() bool { return c.ask(stream("first")) == http.StatusOK }))
	i.model.SetFaults(platformstandin.WorkerFaults{Hangs: 1})
	require.NoError(t, i.process.Signal(syscall.SIGTERM))
	assert.Equal(t, http.StatusBadGateway, c.ask(stream("second")))
	select {
	case <-i.process.Exited():
	case <-time.After(grace):
		assert.Fail(t, "the process has not ended")
	}
}

// hangupDuringTheStart holds a process that starts at its settings, which come through a pipe, and sends a hang-up.
func hangupDuringTheStart(t *testing.T) {
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
	require.True(t, processes.Poll(patience, opened), "it opens its settings")
	require.NoError(t, i.process.Signal(syscall.SIGHUP))
	_, err := unix.Write(descriptor, i.settings())
	require.NoError(t, err)
	require.NoError(t, unix.Close(descriptor))
	i.waitReady()
	assert.False(t, i.process.HasExited())
}

func bodyThatStops(t *testing.T) {
	i := startInstance(t, time.Second)
	c := i.dial()
	began := time.Now()
	assert.Equal(t, http.StatusRequestTimeout, c.ask(head(unsafe, "slow", "X-Deadline-Ms: 700", "Content-Length: 10")+"half"))
	assert.Less(t, time.Since(began), grace, "it is not held beyond its deadline")
	assert.Empty(t, i.plain.Runs())
}

// largeBodyThatStops sends more than is held in memory, so that the rest goes to the endpoint as it comes, and then nothing more.
func largeBodyThatStops(t *testing.T) {
	const sent = 300 << 10
	i := startInstance(t, time.Second)
	c := i.dial()
	began := time.Now()
	status := c.ask(head(unsafe, "large", "X-Deadline-Ms: 700", fmt.Sprintf("Content-Length: %d", 2*sent)) + strings.Repeat("x", sent))
	assert.Contains(t, []int{http.StatusGatewayTimeout, http.StatusBadGateway, http.StatusServiceUnavailable}, status)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "nothing holds the connection for the rest of the body")
	assert.Less(t, time.Since(began), grace)
}

func bodyThatCannotBeRead(t *testing.T) {
	i := startInstance(t, time.Second)
	c := i.dial()
	assert.Equal(t, http.StatusBadRequest, c.ask(head(unsafe, "odd", "Transfer-Encoding: chunked")+"no number\r\n"))
	assert.Empty(t, i.plain.Runs())
}
