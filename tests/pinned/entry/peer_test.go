// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// sendFrame sends a message in the format of all versions of the program: its length, then its MessagePack encoding.
func sendFrame(conn net.Conn, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

// receiveFrame reads one message.
func receiveFrame(conn net.Conn) (map[string]any, error) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	var length [4]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(length[:]))
	if _, err := io.ReadFull(conn, body); err != nil {
		return nil, err
	}
	var message map[string]any
	err := msgpack.Unmarshal(body, &message)
	return message, err
}

// queryPeer sends one message to the program's peer port and returns the response.
func (r *programRun) queryPeer(message any) map[string]any {
	r.t.Helper()
	conn, err := net.Dial("tcp4", r.ports.ip+":"+r.ports.peers)
	require.NoError(r.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(r.t, sendFrame(conn, message))
	answer, err := receiveFrame(conn)
	require.NoError(r.t, err)
	return answer
}

// queryViews returns the views that the program as planner sends in response to a peer's query and to a member's report.
func (r *programRun) queryViews() string {
	var asked map[string]any
	r.waitFor("the planner's view has the loaded adapter and no longer the unloaded one", func() bool {
		asked = r.queryPeer(map[string]any{"q": map[string]any{"i": "peer"}})
		return strings.Contains(encodeJSON(asked), `[["base",[["a1",1]]]]`) && !strings.Contains(encodeJSON(asked), `["a0",1]`)
	})
	member := r.queryPeer(map[string]any{"r": map[string]any{"i": "peer", "w": 0, "c": 0, "k": 0}})
	return "asked " + normalizeMessage(asked) + "\nmember " + normalizeMessage(member) + "\n"
}

// normalizeMessage returns a message as JSON with masked ages, revisions, view numbers and addresses, since these differ from run to
// run. Lists without a defined order are sorted.
func normalizeMessage(message map[string]any) string {
	for _, content := range message {
		fields, ok := content.(map[string]any)
		if !ok {
			continue
		}
		// The encoding omits the age of the totals when it is zero, which happens when the view is built at the time of the report that it
		// answers. The golden file peer_messages.txt covers this field.
		delete(fields, "ta")
		for name, value := range fields {
			fields[name] = normalizeField(name, value)
		}
	}
	return encodeJSON(message)
}

func normalizeField(name string, value any) any {
	switch name {
	case "g", "k", "c", "y", "w", "m", "sq", "du":
		return "NUMBER"
	case "z":
		return maskPlannerAddress(value)
	case "j":
		backlogs, _ := value.(map[string]any)
		for service := range backlogs {
			backlogs[service] = "NUMBER"
		}
	case "e":
		return sortedElements(value, func(element any) any {
			fields, _ := element.([]any)
			if len(fields) > 3 {
				fields[1], fields[3] = "REVISION", formatAddress(fields[3])
			}
			return fields
		})
	case "sw":
		return sortedElements(value, func(element any) any {
			fields, _ := element.([]any)
			if len(fields) == 2 {
				fields[1] = sortedElements(fields[1], func(id any) any { return id })
			}
			return fields
		})
	case "tu":
		return maskTunnelAddresses(value)
	case "o":
		return sortedElements(value, func(element any) any {
			fields, _ := element.(map[string]any)
			fields["Revision"] = "REVISION"
			fields["Value"] = fmt.Sprintf("%T", fields["Value"])
			return fields
		})
	}
	return value
}

// maskTunnelAddresses masks the addresses in a list of tunnels, which differ from run to run.
func maskTunnelAddresses(value any) any {
	list, ok := value.(map[string]any)
	if !ok {
		return value
	}
	list["t"] = sortedElements(list["t"], func(element any) any {
		fields, _ := element.([]any)
		if len(fields) == 2 {
			fields[1] = maskPlannerAddress(fields[1])
		}
		return fields
	})
	return list
}

func formatAddress(value any) any {
	var parsed netip.AddrPort
	if encoded, ok := value.([]byte); !ok || parsed.UnmarshalBinary(encoded) != nil {
		return value
	}
	return "ADDRESS of " + parsed.Addr().String()
}

// maskPlannerAddress masks the planner's address, which differs from run to run.
func maskPlannerAddress(value any) any {
	if _, isText := formatAddress(value).(string); !isText {
		return value
	}
	return "ADDRESS"
}

func sortedElements(value any, normalize func(any) any) any {
	list, ok := value.([]any)
	if !ok {
		return value
	}
	texts := make([]string, 0, len(list))
	for _, element := range list {
		texts = append(texts, encodeJSON(normalize(element)))
	}
	slices.Sort(texts)
	return json.RawMessage("[" + strings.Join(texts, ",") + "]")
}

// fakePlanner is a planner that the test runs and the program follows.
type fakePlanner struct {
	listener net.Listener
	run      *programRun
	reports  chan map[string]any
	view     map[string]any
}

// startFakePlanner starts a fake planner and writes its record to the store, so that the program follows it.
func (r *programRun) startFakePlanner(view func(endpoints []byte) map[string]any) *fakePlanner {
	r.t.Helper()
	listener, err := net.Listen("tcp4", newLoopbackAddress()+":0")
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = listener.Close() })
	p := &fakePlanner{listener: listener, run: r, reports: make(chan map[string]any, 10000), view: view(encodeAddress(r.t, r.endpoints.Listener.Addr().String()))}
	record, err := msgpack.Marshal(map[string]any{
		"Holder": "entry-x", "Address": encodeAddress(r.t, listener.Addr().String()), "Term": 7, "Ordering": true, "Released": false,
		"Former": "entry-y", "RecentLoads": 0,
	})
	require.NoError(r.t, err)
	body := encodeJSON(map[string]any{
		"expected_count": []any{}, "remove": []any{},
		"put": []any{
			map[string]any{"private_key": "shelfledge/planner", "value": record, "lease": 0},
			map[string]any{"private_key": "shelfledge/planner-alive", "value": []byte("entry-x"), "lease": 0},
		},
	})
	response, err := client.Post("http://"+r.store.Address()+"/-/kv-txn", "application/json", strings.NewReader(body))
	require.NoError(r.t, err)
	_ = response.Body.Close()
	require.Equal(r.t, http.StatusOK, response.StatusCode)
	go p.serve()
	return p
}

func encodeAddress(t *testing.T, text string) []byte {
	t.Helper()
	encoded, err := netip.MustParseAddrPort(text).MarshalBinary()
	require.NoError(t, err)
	return encoded
}

func (p *fakePlanner) serve() {
	conn, err := p.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for {
		report, err := receiveFrame(conn)
		if err != nil {
			return
		}
		p.reports <- report
		if err := sendFrame(conn, map[string]any{"v": p.view}); err != nil {
			return
		}
	}
}

// waitForReport waits for a report in which an element of the list field contains the text about, such as the id of an endpoint or
// service, and returns this element as JSON.
func (p *fakePlanner) waitForReport(field, about string) string {
	p.run.t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case message := <-p.reports:
			report, _ := message["r"].(map[string]any)
			list, _ := report[field].([]any)
			for _, element := range list {
				if text := encodeJSON(element); strings.Contains(text, about) {
					return text
				}
			}
		case <-deadline:
			require.FailNow(p.run.t, "no report with the expected field within 10 s", "%s; log:\n%s", field, strings.Join(p.run.lines(), "\n"))
		}
	}
}

// TestFollowerReadsPlannerView checks what an instance that follows a planner reads from the planner's view, and what it reports.
func TestFollowerReadsPlannerView(t *testing.T) {
	t.Parallel()
	r := newProgramRun(t)
	r.store.Put("op/config", json.RawMessage(`{"version": 1}`))
	configuration := readTestdata(t, "configuration.json")
	planner := r.startFakePlanner(func(endpoints []byte) map[string]any {
		endpoint := func(id, service string, models []any) []any {
			return []any{id, 5000, service, endpoints, "hall-1", 8, 0, models}
		}
		models := []any{[]any{"base", []any{[]any{"a1", 6}}}}
		return map[string]any{
			"p": "entry-x", "t": 7, "w": 1, "g": 0, "k": 0, "x": true, "y": 4000, "h": true, "n": 2, "c": 5000,
			"e": []any{
				endpoint("e-ok", "s-ok", []any{}), endpoint("e-model", "s-model", models),
				endpoint("e-dear", "s-dear", []any{[]any{"base", []any{}}}),
			},
			"f": []any{map[string]any{"e": "e-ok", "n": 3}},
			"l": []any{map[string]any{"s": "s-dear", "m": "base", "a": "a1", "u": int64(time.Hour)}},
			"j": map[string]any{"s-dear": int64(time.Hour)},
			"o": []any{map[string]any{"Key": "op/config", "Value": configuration, "Revision": 5000, "Lease": 0}},
		}
	})
	r.start()
	r.waitFor("the configuration of the view is in force", func() bool { return r.hasLogged(`"version":3`) })
	model := map[string]string{"X-Model": "base/a1"}
	var answers string
	r.waitFor("the endpoints of the view are used", func() bool {
		answers = r.sendRequest("plain", http.MethodGet, "/ok/x", "", nil)
		return strings.Contains(answers, "e-ok answers")
	})
	answers += r.sendRequest("adapter", http.MethodPost, "/chat/x", "prompt", model)
	answers += r.sendRequest("adapter not loaded", http.MethodPost, "/dear/x", "prompt", model)
	demand := regexp.MustCompile(`,?"[ntw]":-?\d+`).ReplaceAllString(planner.waitForReport("d", "s-dear"), "")
	go r.sendRequest("model", http.MethodPost, "/chat/hold", "prompt", model)
	r.waitFor("the endpoint received the held request", func() bool { return r.hasReceived("POST /chat/hold") })
	inUse, inFlight := planner.waitForReport("u", "e-model"), planner.waitForReport("f", "e-model")
	known := r.queryPeer(map[string]any{"q": map[string]any{"i": "peer"}})
	checkGolden(t, "follower.txt", answers+r.formatReceived()+fmt.Sprintf("in flight %s\nin use %s\ndemand %s\nknown %s\n",
		inFlight, inUse, demand, normalizeMessage(known)))
	_, code := r.stop()
	assert.Zero(t, code)
}
