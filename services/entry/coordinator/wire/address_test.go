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

// previousView is a view as the previous version decodes it, reduced to the fields that this test needs.
type previousView struct {
	Planner   string          `msgpack:"p"`
	Term      int64           `msgpack:"t"`
	Address   netip.AddrPort  `msgpack:"z,omitempty"`
	Endpoints []wire.Endpoint `msgpack:"e,omitempty"`
	Members   int             `msgpack:"n"`
}

// previousMessage is a message as the previous version decodes it.
type previousMessage struct {
	View *previousView `msgpack:"v,omitempty"`
}

// recode encodes one form of a message and decodes it into another.
func recode(t *testing.T, from, into any) {
	t.Helper()
	encoded, err := msgpack.Marshal(from)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(encoded, into))
}

// TestViewKeepsPlannerAddress sends addresses of each kind. Instances that cannot reach the store learn the planner by the address.
func TestViewKeepsPlannerAddress(t *testing.T) {
	for _, text := range []string{"10.0.0.1:7000", "[fd00::1]:7000", "[fe80::1%eth0]:7000", "0.0.0.0:1"} {
		sent := wire.Address{AddrPort: netip.MustParseAddrPort(text)}
		var decoded wire.Message
		recode(t, wire.Message{View: &wire.View{Planner: "i", Term: 2, Address: sent}}, &decoded)
		assert.Equal(t, sent, decoded.View.Address)
	}
}

func TestViewOmitsMissingAddress(t *testing.T) {
	encoded := decodeUntyped(t, wire.Message{View: &wire.View{Planner: "i", Term: 2}})
	assert.NotContains(t, encoded["v"], "z")
	var decoded wire.Message
	recode(t, encoded, &decoded)
	assert.True(t, decoded.View.Address.IsZero())
}

// TestViewAddressIsCompatibleWithPreviousVersion decodes the present form by a copy of the previous type, and the reverse.
func TestViewAddressIsCompatibleWithPreviousVersion(t *testing.T) {
	sent := &wire.View{
		Planner: "i", Term: 2, Address: wire.Address{AddrPort: address}, Members: 3, Endpoints: []wire.Endpoint{{ID: "e", Address: address}},
	}
	var previous previousMessage
	recode(t, wire.Message{View: sent}, &previous)
	assert.Equal(t, &previousView{Planner: "i", Term: 2, Address: address, Members: 3, Endpoints: sent.Endpoints}, previous.View)

	var decoded wire.Message
	recode(t, previousMessage{View: &previousView{Planner: "i", Term: 2, Address: address, Members: 3}}, &decoded)
	assert.Equal(t, &wire.View{Planner: "i", Term: 2, Members: 3}, decoded.View, "the previous version sends no address")
}
