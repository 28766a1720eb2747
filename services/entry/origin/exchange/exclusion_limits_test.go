// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// maxRecords and maxToldUses are those of the packages.
	maxRecords  = 131072
	maxToldUses = 4096
)

// TestInstanceThatForgotStreamsDoesNotDenyThem guards against a stream that goes on elsewhere though the instance that began it lives.
func TestInstanceThatForgotStreamsDoesNotDenyThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetThatLostStreams(t, "1.0", "2.0")
		defer func() { f.close() }()
		archiver, _ := origin.NewHolders(f.instances[0], f.instances).Archiver(lateKey)
		began := slices.IndexFunc(f.instances, func(instance origin.Instance) bool { return instance.Address != archiver })
		f.services[began].Prepare(t.Context(), two)
		f.network.lose(func(datagram) bool { return true })
		begin(f.services[began], lateKey, two)
		for key := range origin.Key(maxRecords) {
			begin(f.services[began], 10*lateKey+key, two)
		}
		time.Sleep(settling)
		f.network.lose(nil)
		asking := (began + 1) % len(f.services)
		assertNotJoined(t, two, f.services[asking], lateKey)
		assertFound(t, unknown, f.services[asking], lateKey)
	})
}

// TestMoreToldUsesThanThereIsRoomForProveNothing guards against streams that go on at the wrong software since a told use was dropped.
func TestMoreToldUsesThanThereIsRoomForProveNothing(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.network.turnAway(f.instances[3].Address, errDown)
		for i := range maxToldUses {
			f.services[3].Prepare(t.Context(), origin.Origin{Service: "other", Software: fmt.Sprint(i)})
			time.Sleep(latency / 10)
		}
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(10 * latency)
	}, atOnce)
}

// TestInstanceThatListDoesNotNameIsAsked guards against streams that are refused since an instance beyond the list has begun others.
func TestInstanceThatListDoesNotNameIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetThatLostStreams(t, "1.0", "2.0")
		defer func() { f.close() }()
		prepareAndBegin(t, f.services[3], 100, two)
		for _, service := range f.services {
			service.SetInstances(slices.Delete(slices.Clone(f.instances), 3, 4))
		}
		time.Sleep(settledAge)
		assertFound(t, onlyPossible(one), f.services[0], 1)
	})
}

// TestUseOfOnlySoftwareIsStatedUnlessAllIsKnown guards against streams that nothing tells of, at a software that is not the only one.
func TestUseOfOnlySoftwareIsStatedUnlessAllIsKnown(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(f *fleet)
		stated  bool
	}{
		"it knows all":                {func(*fleet) {}, false},
		"it observes nothing":         {func(f *fleet) { f.services[0].InterruptObservation() }, true},
		"another service is of route": {func(f *fleet) { f.services[0].SetSharedServices(time.Now(), []string{"chat"}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 6, 3, "1.0")
				defer func() { f.close() }()
				time.Sleep(settling)
				test.prepare(f)
				f.services[0].Prepare(t.Context(), one)
				isUse := func(key string) bool { return strings.HasPrefix(key, "shelfledge/streams/used/") }
				assert.Equal(t, test.stated, slices.ContainsFunc(f.network.store.Keys(), isUse))
			})
		})
	}
}

// TestOnlySoftwareIsKnownFromAnswers guards against streams that began without a statement of use, and that the archive says nothing about.
func TestOnlySoftwareIsKnownFromAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		f := &fleet{network: n, instances: list(6, 3)}
		used := slices.IndexFunc(f.instances[1:5], func(instance origin.Instance) bool {
			return !origin.NewHolders(instance, f.instances).StatesSoftwares()
		}) + 1
		require.Positive(t, used)
		for i, instance := range f.instances {
			f.services = append(f.services, startInstance(t, n, instance, f.instances))
			if i != used {
				n.turnAway(instance.Address, errDown)
			}
		}
		f.observe("1.0")
		time.Sleep(settling)
		lost := used + 1
		f.services[lost].Prepare(t.Context(), one)
		f.observe("1.0", "2.0")
		f.services[used].Prepare(t.Context(), two)
		time.Sleep(settledAge)
		f.loseStream(lost, one, window)
		f.loseStream(used, two, window)
		f.restart(t, 0, "1.0", "2.0")
		time.Sleep(settling)
		assertNotJoined(t, one, f.services[0], lateKey)
		f.close()
	})
}
