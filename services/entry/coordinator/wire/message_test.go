// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire_test

import (
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

var address = netip.MustParseAddrPort("10.0.0.1:7000")

// decodeUntyped encodes a message and decodes it without its types.
func decodeUntyped(t *testing.T, message any) map[string]any {
	t.Helper()
	encoded, err := msgpack.Marshal(message)
	require.NoError(t, err)
	var decoded map[string]any
	require.NoError(t, msgpack.Unmarshal(encoded, &decoded))
	return decoded
}

func keys(message map[string]any) []string {
	var list []string
	for key := range message {
		list = append(list, key)
	}
	return list
}

func TestEncodedNamesOfReports(t *testing.T) {
	full := wire.Report{
		Instance: "i", WithdrawalsSeen: 1, ConfigurationRevision: 2, InFlight: []wire.EndpointCount{{ID: "e", Count: 1}},
		Demands: []wire.Demand{{Service: "s", Model: "m", Name: "a", Waiting: 1, InTime: 1, Arrivals: 1}},
		InUse:   []wire.CopyCount{{ID: "e", Model: "m", Name: "a", Count: 3}}, Missing: []wire.Copy{{ID: "e", Model: "m", Name: "a"}},
		Suspects: []deployment.EndpointID{"e"}, Items: []store.Item{{Key: "k"}}, Leaving: true,
		Rates: []wire.Rate{{Service: "s", Model: "m", Name: "a", PerSecond: 0.5}}, StoreReadAge: time.Second,
		FormerLoads: &wire.FormerLoads{Term: 1, Count: 2, Age: time.Second},
	}
	message := decodeUntyped(t, wire.Message{Report: &full})
	require.Equal(t, []string{"r"}, keys(message))
	report := message["r"].(map[string]any)
	assert.ElementsMatch(t, []string{"i", "w", "c", "f", "d", "u", "m", "s", "o", "l", "a", "b", "k"}, keys(report))
	assert.ElementsMatch(t, []string{"t", "n", "g"}, keys(report["b"].(map[string]any)))
	assert.ElementsMatch(t, []string{"e", "n"}, keys(report["f"].([]any)[0].(map[string]any)))
	assert.ElementsMatch(t, []string{"s", "m", "a", "w", "t", "n"}, keys(report["d"].([]any)[0].(map[string]any)))
	assert.EqualValues(t, []any{"e", "m", "a", int8(3)}, report["u"].([]any)[0])
	assert.ElementsMatch(t, []string{"e", "m", "a"}, keys(report["m"].([]any)[0].(map[string]any)))
	assert.ElementsMatch(t, []string{"s", "m", "a", "r"}, keys(report["a"].([]any)[0].(map[string]any)))
	assert.ElementsMatch(t, []string{"i", "w", "c", "k"}, keys(decodeUntyped(t, wire.Report{})), "empty fields are omitted")
}

func TestEncodedNamesOfViews(t *testing.T) {
	full := wire.View{
		Planner: "p", Term: 1, Withdrawals: 1, ReadAge: 1, Address: wire.Address{AddrPort: address}, ConfirmedAge: 1, Full: true, EndpointsRevision: 1,
		Endpoints: []wire.Endpoint{{
			ID: "e", Revision: 2, Service: "s", Address: address, Hall: "h", Slots: 8, State: deployment.Draining,
			Models: []wire.Model{{Name: "m", Adapters: []wire.AdapterVersion{{Name: "a", Version: 5}}}},
		}},
		Starts: []wire.Start{{ID: "e", Born: 1796256000123}}, Removed: []wire.RemovedEndpoint{{ID: "e", Revision: 1}}, Heartbeat: true, Totals: []wire.EndpointCount{{ID: "e"}},
		Forecasts: []wire.Forecast{{Service: "s", Model: "m", Name: "a", Remaining: time.Second}},
		Backlogs:  map[string]time.Duration{"s": 1}, Members: 1, ConfigurationRevision: 1, Items: []store.Item{{Key: "k"}}, Resigned: true,
		RecentLoads: new(int), KeysAge: 1,
	}
	message := decodeUntyped(t, wire.Message{View: &full})
	require.Equal(t, []string{"v"}, keys(message))
	view := message["v"].(map[string]any)
	assert.ElementsMatch(t, []string{"p", "t", "w", "g", "z", "k", "x", "y", "e", "d", "h", "f", "l", "j", "n", "c", "o", "b", "a", "r", "s"}, keys(view))
	endpoint := view["e"].([]any)[0].([]any)
	require.Len(t, endpoint, 8)
	assert.Equal(t, []any{"e", int64(2), "s"}, endpoint[:3])
	assert.Equal(t, []any{"h", int8(8), int8(1)}, endpoint[4:7])
	assert.Equal(t, []any{[]any{"m", []any{[]any{"a", int64(5)}}}}, endpoint[7])
	assert.Equal(t, []any{"e", int64(1796256000123)}, view["s"].([]any)[0])
	assert.ElementsMatch(t, []string{"i", "r"}, keys(view["d"].([]any)[0].(map[string]any)))
	assert.ElementsMatch(t, []string{"s", "m", "a", "u"}, keys(view["l"].([]any)[0].(map[string]any)))
	assert.ElementsMatch(t, []string{"p", "t", "w", "g", "k", "n", "c"}, keys(decodeUntyped(t, wire.View{})), "empty fields are omitted")
}

func TestEncodedNamesOfOtherMessages(t *testing.T) {
	message := decodeUntyped(t, wire.Message{Request: &wire.Request{Instance: "i"}, Successor: &wire.Successor{Term: 1, Address: address}})
	assert.ElementsMatch(t, []string{"q", "s"}, keys(message))
	assert.ElementsMatch(t, []string{"i"}, keys(message["q"].(map[string]any)))
	assert.ElementsMatch(t, []string{"t", "z"}, keys(message["s"].(map[string]any)))
}

func TestUnknownFieldsOfNewerVersionsAreIgnored(t *testing.T) {
	encoded, err := msgpack.Marshal(map[string]any{"r": map[string]any{"i": "peer", "future": 1}, "other": true})
	require.NoError(t, err)
	var message wire.Message
	require.NoError(t, msgpack.Unmarshal(encoded, &message))
	require.NotNil(t, message.Report)
	assert.Equal(t, "peer", message.Report.Instance)
	assert.Nil(t, message.View)
}

func TestEndpointIsSentWithOfferedModelsAndAdapters(t *testing.T) {
	known := directory.New()
	described := map[deployment.Adapter]int64{{Model: "m", Name: "old"}: 1}
	known.Put(deployment.Endpoint{ID: "e", Service: "s", Address: address, Hall: "h", Slots: 8, Models: []string{"m", "n"}, Adapters: described}, 6)
	offered := map[deployment.Adapter]int64{{Model: "m", Name: "a"}: 3, {Model: "n", Name: "b"}: 4, {Model: "withdrawn", Name: "c"}: 5}
	known.SetOffered("e", []string{"m", "n"}, offered)
	sent := wire.EndpointFromStatus(known.Endpoint("e"))
	assert.EqualValues(t, 6, sent.Revision)

	endpoint := sent.Endpoint()
	assert.Equal(t, deployment.EndpointID("e"), endpoint.ID)
	assert.Equal(t, []string{"m", "n"}, endpoint.Models)
	assert.Equal(t, map[deployment.Adapter]int64{{Model: "m", Name: "a"}: 3, {Model: "n", Name: "b"}: 4}, endpoint.Adapters, "an adapter is included only with its base model")
}

// TestViewTellsSoftwareOfEndpoints checks that a view has the software of its endpoints, as far as known, apart from their descriptions: these
// have no field names, so that earlier versions could not read a longer one.
func TestViewTellsSoftwareOfEndpoints(t *testing.T) {
	known := directory.New()
	for id, software := range map[deployment.EndpointID]string{"e1": "v1", "e2": "v2", "e3": "v2", "e4": ""} {
		known.Put(deployment.Endpoint{ID: id, Service: "s", Address: address, Software: software}, 6)
	}
	var sent wire.View
	sent.AddEndpoints(maps.Values(known.Endpoints()))
	sent.DescribedSoftware = []string{"v3"}

	untyped := decodeUntyped(t, wire.Message{View: &sent})["v"].(map[string]any)
	assert.Len(t, untyped["sw"], 2)
	assert.Equal(t, []any{"v3"}, untyped["ks"])
	for _, endpoint := range untyped["e"].([]any) {
		assert.Len(t, endpoint, 8)
	}
	software := make(map[deployment.EndpointID]string)
	for _, endpoint := range received(t, &sent).Descriptions() {
		software[endpoint.ID] = endpoint.Software
	}
	assert.Equal(t, map[deployment.EndpointID]string{"e1": "v1", "e2": "v2", "e3": "v2", "e4": ""}, software)
}

// TestViewOfEarlierVersionTellsNoSoftware checks that the software is unknown then, not wrong.
func TestViewOfEarlierVersionTellsNoSoftware(t *testing.T) {
	earlier := received(t, &wire.View{
		Endpoints: []wire.Endpoint{{ID: "e", Service: "s", Address: address}}, DescribedEndpoints: []wire.KnownEndpoints{{IDs: []deployment.EndpointID{"e"}}},
	})
	require.Len(t, earlier.Descriptions(), 1)
	assert.Empty(t, earlier.Descriptions()[0].Software)
	assert.Empty(t, earlier.DescribedSoftwareOf(0))
}

// TestReportNamesSoftwareOfPinnedDemandApart checks that earlier versions, which ignore the list, do not take the demand for one that any endpoint
// may serve.
func TestReportNamesSoftwareOfPinnedDemandApart(t *testing.T) {
	sent := wire.Report{Pinned: []wire.PinnedDemand{{Service: "s", Model: "m", Name: "a", Software: "v1", Waiting: 2, InTime: time.Second}}}
	untyped := decodeUntyped(t, sent)
	assert.ElementsMatch(t, []string{"i", "w", "c", "k", "pd"}, keys(untyped))
	assert.ElementsMatch(t, []string{"s", "m", "a", "v", "w", "t"}, keys(untyped["pd"].([]any)[0].(map[string]any)))

	encoded, err := msgpack.Marshal(sent)
	require.NoError(t, err)
	var decoded wire.Report
	require.NoError(t, msgpack.Unmarshal(encoded, &decoded))
	assert.Equal(t, sent.Pinned, decoded.Pinned)
	assert.Empty(t, decoded.Demands)
}

// received returns a view as its receiver decodes it.
func received(t *testing.T, v *wire.View) *wire.View {
	t.Helper()
	encoded, err := msgpack.Marshal(wire.Message{View: v})
	require.NoError(t, err)
	var message wire.Message
	require.NoError(t, msgpack.Unmarshal(encoded, &message))
	return message.View
}
