// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// viewOfBefore is a view as the version before decodes it, without the fields that this test does not look at.
type viewOfBefore struct {
	Planner   string          `msgpack:"p"`
	Term      int64           `msgpack:"t"`
	Address   netip.AddrPort  `msgpack:"z,omitempty"`
	Endpoints []wire.Endpoint `msgpack:"e,omitempty"`
	Members   int             `msgpack:"n"`
}

// messageOfBefore is a message as the version before decodes it.
type messageOfBefore struct {
	View *viewOfBefore `msgpack:"v,omitempty"`
}

// recode encodes one form of a message and decodes it into another.
func recode(t *testing.T, from, into any) {
	t.Helper()
	encoded, err := msgpack.Marshal(from)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(encoded, into))
}

// TestAViewNamesThePlannersAddress sends an address of each kind: an instance that the store does not answer learns the
// planner by it.
func TestAViewNamesThePlannersAddress(t *testing.T) {
	for _, text := range []string{"10.0.0.1:7000", "[fd00::1]:7000", "[fe80::1%eth0]:7000", "0.0.0.0:1"} {
		sent := wire.Address{AddrPort: netip.MustParseAddrPort(text)}
		var decoded wire.Message
		recode(t, wire.Message{View: &wire.View{Planner: "i", Term: 2, Address: sent}}, &decoded)
		assert.Equal(t, sent, decoded.View.Address)
	}
}

func TestAViewWithoutAddressLeavesItOut(t *testing.T) {
	encoded := names(t, wire.Message{View: &wire.View{Planner: "i", Term: 2}})
	assert.NotContains(t, encoded["v"], "z")
	var decoded wire.Message
	recode(t, encoded, &decoded)
	assert.True(t, decoded.View.Address.IsZero())
}

// TestAViewWithAnAddressIsReadByTheVersionBefore decodes the new form by a copy of the former type, and the reverse.
func TestAViewWithAnAddressIsReadByTheVersionBefore(t *testing.T) {
	sent := &wire.View{
		Planner: "i", Term: 2, Address: wire.Address{AddrPort: address}, Members: 3, Endpoints: []wire.Endpoint{{ID: "e", Address: address}},
	}
	var before messageOfBefore
	recode(t, wire.Message{View: sent}, &before)
	assert.Equal(t, &viewOfBefore{Planner: "i", Term: 2, Address: address, Members: 3, Endpoints: sent.Endpoints}, before.View)

	var decoded wire.Message
	recode(t, messageOfBefore{View: &viewOfBefore{Planner: "i", Term: 2, Address: address, Members: 3}}, &decoded)
	assert.Equal(t, &wire.View{Planner: "i", Term: 2, Members: 3}, decoded.View, "the version before names no address")
}
