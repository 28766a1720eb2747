// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestAVersionThatIsNamedWhileWatchesAreDeafBindsWhatWaits has the store lose its history, after which watches hear nothing for a second,
// and names a version in that time: it is learned by a reading, and counts from the last proof that nothing was lacking.
func TestAVersionThatIsNamedWhileWatchesAreDeafBindsWhatWaits(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	s.holdVersions(versionLimit + 3*time.Second)
	var caller sync.WaitGroup
	defer caller.Wait()
	caller.Go(func() { s.do(patientCall) })
	s.waitFor("the request waits at an endpoint", func() bool { return s.queued() == 1 })
	s.store.DropHistory()
	s.store.SetFaults(standin.StoreFaults{Deaf: true})
	acknowledged := s.nameSecondVersion()
	time.Sleep(time.Until(acknowledged.Add(time.Second)))
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("the version is named", func() bool { return s.logged(0, "version named") })
	time.Sleep(time.Until(acknowledged.Add(versionLimit)))
	assert.Zero(t, s.queued(), "what waits there at the limit begins after it")
}
