// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// month is a time after which nothing needs to be known any more of what has gone.
const month = 30 * 24 * time.Hour

// TestEntryThatIsLongGoneIsForgotten fails as listed in KNOWN-RED.txt: a node keeps every
// instance that ever submitted a request. That it knows one is seen by its answer to a permit.
func TestEntryThatIsLongGoneIsForgotten(t *testing.T) {
	permit := fleet.Envelope{From: "j1", Boot: 1, Permit: &fleet.Permit{Pool: "h1/base", ID: 1}}
	n := newNode()
	require.Empty(t, only[node.Send](n.Handle(begin, permit)), "a stranger")
	n.Handle(begin, fleet.Envelope{From: "j1", Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base", Hall: "h2"}, Reply: instance("", 9).Address, Stamp: 1,
	}})
	for now := begin; now.Before(begin.Add(month)); now = now.Add(time.Hour) {
		n.Tick(now)
	}
	require.Empty(t, only[node.Send](n.Handle(begin.Add(month), permit)), "unheard for a month")
}
