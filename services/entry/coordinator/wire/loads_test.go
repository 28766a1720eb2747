// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// messageWithoutLoads is a message as a version decodes it that has no loads in views and reports, reduced to the fields that this
// test needs.
type messageWithoutLoads struct {
	Report *struct {
		Instance string `msgpack:"i"`
	} `msgpack:"r,omitempty"`
	View *struct {
		Planner string `msgpack:"p"`
		Members int    `msgpack:"n"`
	} `msgpack:"v,omitempty"`
}

func TestLoadsInMessagesAreCompatibleWithPreviousVersion(t *testing.T) {
	count := 3
	var previous messageWithoutLoads
	recode(t, wire.Message{
		Report: &wire.Report{Instance: "i", FormerLoads: &wire.FormerLoads{Term: 2, Count: count, Age: time.Second}},
		View:   &wire.View{Planner: "p", Members: 4, RecentLoads: &count},
	}, &previous)
	assert.Equal(t, "i", previous.Report.Instance)
	assert.Equal(t, "p", previous.View.Planner)
	assert.Equal(t, 4, previous.View.Members)

	var decoded wire.Message
	recode(t, previous, &decoded)
	assert.Nil(t, decoded.View.RecentLoads, "the previous version does not send the count, which differs from a count of 0")
	assert.Nil(t, decoded.Report.FormerLoads)
}

func TestRecentLoadsOfZeroAreEncoded(t *testing.T) {
	var decoded wire.Message
	recode(t, wire.Message{View: &wire.View{RecentLoads: new(int)}}, &decoded)
	assert.Equal(t, new(int), decoded.View.RecentLoads)
}
