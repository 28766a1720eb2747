// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

//go:build stress

package platform_test

import (
	"testing"
	"time"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestBrittleWorkersDoNotFallOverThoughAllInstancesAreLost guards against instances that have forgotten which endpoints must not reject requests.
func TestBrittleWorkersDoNotFallOverThoughAllInstancesAreLost(t *testing.T) {
	for name, test := range map[string]brittleTest{
		"plain service with more callers than places": {
			entries: 6, workers: 12, slots: 8, request: call{path: standin.SafePrefix + "x?work_ms=400"}, work: 400 * time.Millisecond,
			callers: 160, pause: 100 * time.Millisecond, losesAll: true,
		},
	} {
		t.Run(name, test.run)
	}
}
