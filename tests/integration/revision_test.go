// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tests/standin"
)

func TestRevisionReachesEveryInstance(t *testing.T) {
	f := newFleet(t, standin.DefaultClusterOptions(), nil, "h1-i1", "h1-i2", "h2-i1", "h2-i2")
	f.createAdapters("h1-i1", 150)
	for id, d := range f.daemons {
		f.waitFor(func() bool { return d.Control().Revision() == 1 }, "instance %s does not have revision 1 in force", id)
	}
	require.Empty(t, f.cluster.Violations())
}
