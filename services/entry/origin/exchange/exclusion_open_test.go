// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestSoftwareThatCopyOfStoreLacksIsNotRuledOut guards against streams of a software that came and left after the copy from which the store came
// back, when all instances were lost as well.
func TestSoftwareThatCopyOfStoreLacksIsNotRuledOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		former := f.network.store.Copy()
		f.observe("1.0", "2.0")
		for key, service := range f.services {
			prepareAndBegin(t, service, origin.Key(key), two)
		}
		time.Sleep(settling)
		f.observe("1.0")
		time.Sleep(settledAge)
		f.close()
		f.network.store.Return(former)
		for i, instance := range f.instances {
			f.services[i] = startInstance(t, f.network, instance, f.instances)
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0"))
		}
		time.Sleep(settling)
		for key, service := range f.services {
			assertNotJoined(t, two, service, origin.Key(key))
		}
	})
}

// TestUseOfSoftwareThatNoStatementNamesIsNotRuledOut guards against streams of a software whose use is stated, but which those who state the softwares
// could not write before all instances were lost and it left.
func TestUseOfSoftwareThatNoStatementNamesIsNotRuledOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		began := 0
		for i, instance := range f.instances {
			if origin.NewHolders(instance, f.instances).StatesSoftwares() {
				f.network.turnAway(instance.Address, errDown)
				continue
			}
			began = i
		}
		f.network.lose(func(datagram) bool { return true })
		f.observe("1.0", "2.0")
		prepareAndBegin(t, f.services[began], lateKey, two)
		f.close()
		f.network.lose(nil)
		for i, instance := range f.instances {
			f.network.turnAway(instance.Address, nil)
			f.services[i] = startInstance(t, f.network, instance, f.instances)
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0"))
		}
		time.Sleep(settling)
		for _, service := range f.services {
			assertNotJoined(t, two, service, lateKey)
		}
	})
}
