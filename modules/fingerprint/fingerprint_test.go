// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fingerprint_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// content is an example of a request.
func content() fingerprint.Content {
	return fingerprint.Content{
		Method: "POST", Host: "h", Path: "/a/b", Query: "c=d", Adapter: "base/a1", Body: []byte("body"), Length: 4,
	}
}

func TestTheSameContentHasTheSameFingerprint(t *testing.T) {
	assert.Equal(t, content().Fingerprint(), content().Fingerprint())
	assert.False(t, content().Fingerprint().IsZero())
}

// TestAQueryCountsWithoutABody: it says then what is asked for, and beside a body mostly how.
func TestAQueryCountsWithoutABody(t *testing.T) {
	first, second := content(), content()
	second.Query = "c=e"
	assert.Equal(t, first.Fingerprint(), second.Fingerprint())
	first.Body, second.Body = nil, nil
	assert.NotEqual(t, first.Fingerprint(), second.Fingerprint())
}

func TestAnyDifferenceChangesTheFingerprint(t *testing.T) {
	for name, change := range map[string]func(*fingerprint.Content){
		"method":  func(c *fingerprint.Content) { c.Method = "PUT" },
		"host":    func(c *fingerprint.Content) { c.Host = "i" },
		"path":    func(c *fingerprint.Content) { c.Path = "/a/c" },
		"adapter": func(c *fingerprint.Content) { c.Adapter = "base/a2" },
		"body":    func(c *fingerprint.Content) { c.Body = []byte("bodi") },
		"length":  func(c *fingerprint.Content) { c.Length = 5 },
		"the bounds between two texts": func(c *fingerprint.Content) {
			c.Host, c.Path = "h/", "a/b"
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
