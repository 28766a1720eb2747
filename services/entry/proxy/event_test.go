// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// TestAnEventWithoutEndIsNotHeldWhole: of a stream that may be resumed, what follows the last whole event is held, so that an
// endpoint that never ends an event would fill the memory.
func TestAnEventWithoutEndIsNotHeldWhole(t *testing.T) {
	endless := func(size int) string { return "data: " + strings.Repeat("x", size) }
	for name, test := range map[string]struct {
		path, script string
		answer       answered
		results      []attempt.Result
	}{
		"an event of 1 MiB less a little": {
			"/resumable", events(endless(1<<20-100)+"\n\n") + last, answered{200, endless(1<<20-100) + "\n\n", "", true},
			[]attempt.Result{attempt.Finished},
		},
		"an event of 2 MiB": {
			"/resumable", events(first, endless(2<<20)+"\n\n") + last, answered{200, first, "", false}, []attempt.Result{attempt.BrokenOff},
		},
		"the same where nothing is held": {
			"/stream", events(first, endless(2<<20)+"\n\n") + last, answered{200, first + endless(2<<20) + "\n\n", "", true},
			[]attempt.Result{attempt.Finished},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, server := newSite(t, test.script)
			got := ask(t, server, test.path, "")
			assert.Equal(t, test.answer.whole, got.whole)
			assert.Len(t, got.body, len(test.answer.body))
			observation := <-s.observed
			var results []attempt.Result
			for _, record := range observation.Attempts {
				results = append(results, record.Result)
			}
			assert.Equal(t, test.results, results)
			if !test.answer.whole {
				assert.Equal(t, []directory.Outcome{directory.Broken}, s.outcomes)
			}
		})
	}
}
