// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestARequestBeginsInTimeAtAnEndpointThatKeepsWhatItQueued: most endpoints drop a request whose connection closes, not all. To close
// the connection takes nothing back at the others.
func TestARequestBeginsInTimeAtAnEndpointThatKeepsWhatItQueued(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	s.holdVersions(versionLimit + time.Second)
	for _, worker := range s.models {
		worker.SetFaults(standin.WorkerFaults{KeepsQueued: true})
	}
	var caller sync.WaitGroup
	defer caller.Wait()
	caller.Go(func() { s.do(patientCall) })
	s.waitFor("the request waits at an endpoint", func() bool { return s.queued() == 1 })
	acknowledged := s.nameSecondVersion()
	time.Sleep(time.Until(acknowledged.Add(versionLimit + 2*time.Second)))
	s.checkBegins(acknowledged)
}
