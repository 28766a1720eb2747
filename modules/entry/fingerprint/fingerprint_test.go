// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fingerprint_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/fingerprint"
)

// content is an example of a request.
func content() fingerprint.Content {
	return fingerprint.Content{
		Caller: netip.MustParseAddr("10.0.0.1"), Method: "POST", Host: "h", Target: "/a/b?c=d", Adapter: "base/a1", Body: []byte("body"), Length: 4,
	}
}

func TestTheSameContentHasTheSameFingerprint(t *testing.T) {
	assert.Equal(t, content().Fingerprint(), content().Fingerprint())
	assert.False(t, content().Fingerprint().IsZero())
	mapped := content()
	mapped.Caller = netip.MustParseAddr("::ffff:10.0.0.1")
	assert.Equal(t, content().Fingerprint(), mapped.Fingerprint(), "however the system writes the address")
}

func TestAnyDifferenceChangesTheFingerprint(t *testing.T) {
	for name, change := range map[string]func(*fingerprint.Content){
		"caller":  func(c *fingerprint.Content) { c.Caller = netip.MustParseAddr("10.0.0.2") },
		"method":  func(c *fingerprint.Content) { c.Method = "PUT" },
		"host":    func(c *fingerprint.Content) { c.Host = "i" },
		"target":  func(c *fingerprint.Content) { c.Target = "/a/b?c=e" },
		"adapter": func(c *fingerprint.Content) { c.Adapter = "base/a2" },
		"body":    func(c *fingerprint.Content) { c.Body = []byte("bodi") },
		"length":  func(c *fingerprint.Content) { c.Length = 5 },
		"the bounds between two texts": func(c *fingerprint.Content) {
			c.Host, c.Target = "h/", "a/b?c=d"
		},
	} {
		t.Run(name, func(t *testing.T) {
			changed := content()
			change(&changed)
			assert.NotEqual(t, content().Fingerprint(), changed.Fingerprint())
		})
	}
}

func TestATextIsReadAgain(t *testing.T) {
	read, ok := fingerprint.Parse(content().Fingerprint().String())
	assert.True(t, ok)
	assert.Equal(t, content().Fingerprint(), read)
	for _, text := range []string{"", "00", "zz000000000000000000000000000000"} {
		_, ok := fingerprint.Parse(text)
		assert.False(t, ok, text)
	}
}
