// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// TestInstanceWithoutOthersArchivesItsStreams guards against streams of a site of one instance, or of one whose transport failed, that nobody
// writes.
func TestInstanceWithoutOthersArchivesItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		start := func() *exchange.Service {
			service := startInstance(t, n, origin.Instance{}, nil)
			service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
			return service
		}
		service := start()
		time.Sleep(2 * settling)
		begin(service, 1, one)
		time.Sleep(settling)
		service.Close()
		service = start()
		defer func() { service.Close() }()
		time.Sleep(settling)
		assertFound(t, known(one), service, 1)
	})
}
