// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/processes"
)

const (
	// maxDescriptors is the number of descriptors that the settings name. The platform keeps fileDescriptors of them for files.
	maxDescriptors  = 320
	fileDescriptors = 200
	// idleCallers is how many callers keep a connection: more than there are descriptors for sockets.
	idleCallers = 200
	// contactTime and applyTime are the times that the platform allows until a disturbance no longer shows, and until a change is in force.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	// silenceTime is for how long the store answers nothing: calls time out, and their connections are closed.
	silenceTime = 4 * time.Second
	// longIdleLimit exceeds the duration of the test.
	longIdleLimit = time.Minute
)

// startCrowdedInstance starts an instance whose process has few descriptors, and has more callers than that keep an idle connection.
func startCrowdedInstance(t *testing.T) *instance {
	t.Helper()
	i := newInstance(t, longIdleLimit)
	settings := platformstandin.Settings("instance", "h1", i.ip, i.ports, nil, i.store.Address())
	settings["limits"] = map[string]any{"max_fds": maxDescriptors}
	encoded, err := json.Marshal(settings)
	require.NoError(t, err)
	i.start(processes.Command{Name: "instance", Program: program(t), Folder: i.folder, Settings: encoded})
	i.waitReady()
	sockets := uint64(maxDescriptors - fileDescriptors)
	require.NoError(t, unix.Prlimit(i.process.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil))
	return i
}

// crowd has callers send a request each on a connection that they keep, and returns how many were answered with success within a second. It
// ends with the first ones that were not.
func (i *instance) crowd(callers int) int {
	i.t.Helper()
	for number := range callers {
		c := i.dial()
		require.NoError(i.t, c.SetDeadline(time.Now().Add(time.Second)))
		if c.exchange(requestHead(unsafePath, fmt.Sprintf("idle-%d", number), noBody)) != http.StatusOK {
			return number
		}
	}
	return callers
}

// wait has callers send a request each on a connection that they keep, without waiting for the answers.
func (i *instance) wait(callers int) {
	i.t.Helper()
	for number := range callers {
		_, err := io.WriteString(i.dial(), requestHead(unsafePath, fmt.Sprintf("waiting-%d", number), noBody))
		require.NoError(i.t, err)
	}
}

// TestIdleCallersLeaveDescriptorsForNewCallers guards against an instance that serves no new caller since idle ones use up its descriptors.
func TestIdleCallersLeaveDescriptorsForNewCallers(t *testing.T) {
	t.Parallel()
	i := startCrowdedInstance(t)
	assert.Equal(t, idleCallers, i.crowd(idleCallers), "answered at the first try")
}

// TestIdleCallersLeaveDescriptorsForStore guards against an instance that keeps an old configuration since it can open no connection to the
// store after that did not answer for a while.
func TestIdleCallersLeaveDescriptorsForStore(t *testing.T) {
	t.Parallel()
	i := startCrowdedInstance(t)
	kept := i.dial()
	require.Equal(t, http.StatusOK, kept.exchange(requestHead(unsafePath, "first", noBody)))
	i.wait(idleCallers)
	i.store.SetFaults(platformstandin.StoreFaults{Silent: true})
	time.Sleep(silenceTime)
	i.store.SetFaults(platformstandin.StoreFaults{})
	const addedPath = "/added/"
	i.store.Put(platformstandin.ConfigurationKey, platformstandin.Configuration(2, map[string]string{addedPath: platformstandin.PlainService}))
	inForce := processes.Poll(contactTime+applyTime, func() bool {
		status := kept.exchange(requestHead(addedPath+"x", fmt.Sprint(time.Now().UnixNano()), noBody))
		if status == 0 {
			// The instance may close a connection after an answer.
			kept = i.dial()
		}
		return status == http.StatusOK
	})
	assert.True(t, inForce, "the change is not in force %v after it was acknowledged", contactTime+applyTime)
	log, err := os.ReadFile(filepath.Join(i.folder, "instance.log"))
	require.NoError(t, err)
	assert.NotContains(t, string(log), syscall.EMFILE.Error(), "callers leave descriptors")
}
