// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	udp "github.com/shelfledge/shelfledge/modules/entry/datagram"
	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestNoDatagramIsTooLarge guards against records that are never sent, since their datagram is larger by its head than was counted.
func TestNoDatagramIsTooLarge(t *testing.T) {
	const longestName = 32
	for length := range longestName {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 6, 3, "1.0", "2.0")
			defer func() { f.close() }()
			time.Sleep(settling)
			began := origin.Origin{Service: "chat", Software: strings.Repeat("v", length+1)}
			for key := range origin.Key(600) {
				if key%5 < 2 {
					f.services[0].Expect(time.Now(), key, began, time.Now().Add(window))
				} else {
					begin(f.services[0], key, began)
				}
			}
			time.Sleep(settledAge)
			for i := range f.services {
				f.restart(t, i, "1.0", "2.0")
				time.Sleep(settledAge)
			}
			largest := 0
			for _, sent := range f.network.takeSent() {
				largest = max(largest, len(sent.payload))
			}
			assert.LessOrEqual(t, largest, udp.MaxBytes, "softwares of %d bytes", length+1)
		})
	}
}
