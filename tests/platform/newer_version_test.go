// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestVersionNewerThanNamedVersionServesRequests covers an endpoint that holds a version whose name has not reached this instance yet.
func TestVersionNewerThanNamedVersionServesRequests(t *testing.T) {
	s := newSite(t, 1)
	for _, worker := range s.models {
		worker.SetAdapterVersion("a1", 3)
	}
	s.store.Put("op/version/base.a1", map[string]any{"model": standin.Model, "adapter": "a1", "version": 2})
	s.waitFor("the version is named", func() bool { return s.hasLogged(0, "version named") })
	s.waitFor("the adapter is served", func() bool { return s.serves(0, "a1") })
	for range 20 {
		assert.Equal(t, http.StatusOK, s.do(call{path: "/chat/x", adapter: "a1"}).Status)
	}
}
