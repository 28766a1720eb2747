// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestStreamsOfLostInstanceGoOnBesideAnotherSoftware guards against streams that are refused since the instance that began them at the only software by
// then, and was lost before another one came, had to state nothing.
func TestStreamsOfLostInstanceGoOnBesideAnotherSoftware(t *testing.T) {
	for _, states := range []bool{true, false} {
		t.Run(fmt.Sprintf("it states the softwares: %t", states), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 6, 3, "1.0")
				defer func() { f.close() }()
				time.Sleep(2 * window)
				lost := 1 + slices.IndexFunc(f.instances[1:], func(instance origin.Instance) bool {
					return origin.NewHolders(instance, f.instances).StatesSoftwares() == states
				})
				require.Positive(t, lost)
				f.services[lost].Prepare(t.Context(), one)
				f.loseStream(lost, one, window)
				time.Sleep(settling)
				f.addInstance(t, list(7, 3)[6])
				f.observe("1.0", "2.0")
				time.Sleep(settledAge)
				for key, service := range f.services {
					prepareAndBegin(t, service, origin.Key(key), two)
				}
				time.Sleep(settledAge)
				for _, service := range f.services {
					assertFound(t, onlyPossible(one), service, lateKey)
				}
			})
		})
	}
}

// addInstance starts another instance, which all learn of.
func (f *fleet) addInstance(t *testing.T, added origin.Instance) {
	t.Helper()
	f.instances = append(f.instances, added)
	f.services = append(f.services, startInstance(t, f.network, added, f.instances))
	for _, service := range f.services {
		service.SetInstances(f.instances)
	}
}
