// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// beforeLoads are the messages as the version decodes them that knows of no loads in views and reports, without the
// fields that this test does not look at.
type beforeLoads struct {
	Report *struct {
		Instance string `msgpack:"i"`
	} `msgpack:"r,omitempty"`
	View *struct {
		Planner string `msgpack:"p"`
		Members int    `msgpack:"n"`
	} `msgpack:"v,omitempty"`
}

func TestLoadsInMessagesAreReadByTheVersionBefore(t *testing.T) {
	count := 3
	var before beforeLoads
	recode(t, wire.Message{
		Report: &wire.Report{Instance: "i", FormerLoads: &wire.FormerLoads{Term: 2, Count: count, Age: time.Second}},
		View:   &wire.View{Planner: "p", Members: 4, RecentLoads: &count},
	}, &before)
	assert.Equal(t, "i", before.Report.Instance)
	assert.Equal(t, "p", before.View.Planner)
	assert.Equal(t, 4, before.View.Members)

	var decoded wire.Message
	recode(t, before, &decoded)
	assert.Nil(t, decoded.View.RecentLoads, "the version before tells none, which is not the same as no loads")
	assert.Nil(t, decoded.Report.FormerLoads)
}

func TestNoLoadsAreToldAsSuch(t *testing.T) {
	var decoded wire.Message
	recode(t, wire.Message{View: &wire.View{RecentLoads: new(int)}}, &decoded)
	assert.Equal(t, new(int), decoded.View.RecentLoads)
}
