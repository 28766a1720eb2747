// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/process"
)

func TestCallersGetHalfOfDescriptorsBesideReserve(t *testing.T) {
	for name, test := range map[string]struct{ sockets, descriptors, limit int }{
		"the platform allows less":      {3900, 20000, 1706},
		"the system allows less":        {7992, 4000, 1750},
		"only the system's is known":    {0, 1024, 448},
		"only the platform's is known":  {120, 0, 44},
		"neither is known":              {0, 0, 0},
		"fewer than what is to be kept": {20, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.limit, process.CallerConnectionLimit(test.sockets, test.descriptors))
		})
	}
}
