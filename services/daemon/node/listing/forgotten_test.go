// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package listing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/listing"
)

// TestInstancesLongGoneAreForgotten fails as listed in KNOWN-RED.txt: the list keeps every
// instance that it ever showed, and when it went.
func TestInstancesLongGoneAreForgotten(t *testing.T) {
	const day, days = 24 * time.Hour, 365
	first := time.Unix(1000, 0)
	l := listing.New()
	for i := range days {
		l.SetInstances(first.Add(time.Duration(i)*day), []fleet.Instance{{ID: fmt.Sprint("i", i), Hall: "h1"}}, nil)
	}
	require.Less(t, len(l.Instances()), days/2, "one instance a day in place of another, for a year")
	require.Zero(t, l.GoneSince("i0"))
}
