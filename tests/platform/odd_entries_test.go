// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// oddValues returns values that no endpoint writes, for an address where nobody listens.
func oddValues() map[string][]byte {
	values := map[string][]byte{
		"empty": nil, "nul": {0}, "no text": {0xff, 0xfe, 0x00}, "half": []byte(`{"service":"plain","addr`),
		"null": []byte("null"), "number": []byte("7"), "text": []byte(`"plain"`), "list": []byte("[]"), "object": []byte("{}"),
		"large": []byte(`"` + strings.Repeat("x", 500<<10) + `"`),
	}
	for name, open := range map[string]string{"lists": "[", "objects": `{"models":`} {
		for _, depth := range []int{100, 10_001, 200_000} {
			values[fmt.Sprintf("%d nested %s", depth, name)] = []byte(strings.Repeat(open, depth))
			values[fmt.Sprintf("field of %d nested %s", depth, name)] = oddEntry("models", strings.Repeat(open, depth))
		}
	}
	numbers := []string{"1e400", "-1e400", "1e308", "9223372036854775807", "9223372036854775808", "-9223372036854775808", "-1", "0", "0.5", "null", `"6"`, "[]"}
	for _, field := range []string{"slots", "sequence", "cold_remaining_ms", "born", "remaining_ms"} {
		for _, number := range numbers {
			values[field+" "+number] = oddEntry(field, number)
		}
	}
	addresses := []string{
		"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:0", "0.0.0.0:0",
		"256.0.0.1:80", "[::1]:0", "[::1%lo]:1", "localhost:1", "[::ffff:127.0.0.1]:1",
	}
	for _, address := range addresses {
		values["address "+address] = oddEntry("address", fmt.Sprintf("%q", address))
	}
	for _, field := range []string{"service", "zone", "version", "state"} {
		for _, text := range []string{`""`, "7", "null", `"\u0000"`, `"` + strings.Repeat("x", 100<<10) + `"`} {
			values[field+" "+text[:min(len(text), 9)]] = oddEntry(field, text)
		}
	}
	for _, models := range []string{"7", "[7]", `[{"name":7}]`, `[{"name":"base","adapters":["","@","a1@","a1@-1","a1@99999999999999999999"]}]`} {
		values["models "+models] = oddEntry("models", models)
	}
	return values
}

// oddService is the service of odd entries, so that those which are taken for endpoints get no requests of others.
const oddService = `"odd"`

// oddEntry returns an entry of an endpoint with one field replaced by a text that need not be JSON.
func oddEntry(field, text string) []byte {
	fields := map[string]string{
		"service": oddService, "address": `"127.0.0.1:1"`, "zone": `"h1"`, "version": `"v1"`, "slots": "8", "state": `"ready"`,
		"cold_remaining_ms": "0", "sequence": "1",
	}
	fields[field] = text
	var entry []string
	for name, value := range fields {
		entry = append(entry, fmt.Sprintf("%q:%s", name, value))
	}
	return []byte("{" + strings.Join(entry, ",") + "}")
}

// TestOddEntriesOfEndpointsEndNothing guards against instances that end, or no longer follow the list of endpoints, since another writer left entries
// among these that no endpoint writes. All of them stay while an instance starts again, a worker comes and one leaves.
func TestOddEntriesOfEndpointsEndNothing(t *testing.T) {
	s := newSite(t, 2)
	for name, value := range oddValues() {
		s.store.PutBytes(standin.EndpointKey("odd "+name), value)
	}
	s.store.PutBytes(standin.EndpointKey(""), oddEntry("slots", "8"))
	s.store.PutBytes(standin.EndpointKey(strings.Repeat("k", 150)), oddEntry("slots", "8"))
	s.assertFollows(t)
	s.kill(1)
	s.restart(1)
	s.assertFollows(t)
}

// TestEndpointsWithOddSlotsAreGivenUp guards against requests that all go to entries which look like endpoints and name numbers of slots beyond reason.
func TestEndpointsWithOddSlotsAreGivenUp(t *testing.T) {
	const inRow = 20
	s := newSite(t, 1)
	for i, slots := range []string{"9223372036854775807", "-9223372036854775808", "1000000000", "-1", "0"} {
		entry := strings.Replace(string(oddEntry("slots", slots)), oddService, `"plain"`, 1)
		s.store.PutBytes(standin.EndpointKey(fmt.Sprintf("odd-%d", i)), []byte(entry))
	}
	served := 0
	s.waitFor("requests are served", func() bool {
		answer := s.do(call{path: "/hold/x"})
		served++
		if answer.Status != http.StatusOK {
			served = 0
		}
		return served >= inRow
	})
}

// TestOddValuesBesideOwnKeysEndNothing is the same for values beside those that the instances keep in the store themselves.
func TestOddValuesBesideOwnKeysEndNothing(t *testing.T) {
	s := newSite(t, 2)
	require.Equal(t, http.StatusOK, s.do(call{path: "/chat/x", adapter: "a1"}).Status)
	own := s.store.Keys("shelfledge/")
	require.NotEmpty(t, own)
	folders := map[string]bool{"shelfledge/streams/served/": true, "shelfledge/streams/begun/": true, "shelfledge/streams/used/": true}
	for _, key := range own {
		folders[key[:strings.LastIndex(key, "/")+1]] = true
	}
	for folder := range folders {
		for name, value := range oddValues() {
			if len(value) < 10<<10 {
				s.store.PutBytes(folder+"odd "+name, value)
			}
		}
	}
	s.assertFollows(t)
	s.kill(1)
	s.restart(1)
	s.assertFollows(t)
}

// assertFollows checks that all instances serve, and follow a worker that comes and the one that leaves for it.
func (s *site) assertFollows(t *testing.T) {
	t.Helper()
	count := len(s.plain)
	added := standin.NewWorker(s.store, standin.WorkerOptions{
		ID: fmt.Sprintf("i-plain-added-%d", count), Service: standin.PlainService, Zone: "h1", Slots: 8,
	})
	s.plain = append(s.plain, added)
	for _, worker := range s.plain[:count] {
		worker.Drain()
	}
	for entry := range s.entries {
		s.waitFor("the worker that came is used", func() bool {
			before := len(added.Runs())
			s.do(call{entry: entry, method: http.MethodGet, path: "/status/x"})
			return len(added.Runs()) > before
		})
		const requests = 20
		for range requests {
			answer := s.do(call{entry: entry, method: http.MethodGet, path: "/status/x"})
			assert.Equal(t, http.StatusOK, answer.Status, answer.Body)
		}
		answer := s.do(call{entry: entry, path: "/chat/x", adapter: "a1"})
		assert.Equal(t, http.StatusOK, answer.Status, answer.Body)
	}
}
