// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

func TestSoftwareRevisionChangesWithSoftware(t *testing.T) {
	known := directory.New()
	for _, step := range []struct {
		name    string
		apply   func()
		changed bool
		want    map[string][]string
	}{
		{"nothing", func() {}, false, map[string][]string{}},
		{"a first endpoint", func() { known.Put(deployment.Endpoint{ID: "a", Service: "s", Software: "v1"}, 1) }, true, map[string][]string{"s": {"v1"}}},
		{"its description again", func() { known.Put(deployment.Endpoint{ID: "a", Service: "s", Software: "v1"}, 2) }, false, map[string][]string{"s": {"v1"}}},
		{"an endpoint without software", func() { known.Put(deployment.Endpoint{ID: "b", Service: "s"}, 3) }, true, map[string][]string{"s": {"", "v1"}}},
		{"its software", func() { known.LearnSoftware("b", "v2") }, true, map[string][]string{"s": {"v1", "v2"}}},
		{"its software again", func() { known.LearnSoftware("b", "v2") }, false, map[string][]string{"s": {"v1", "v2"}}},
		{"a description without software", func() { known.Put(deployment.Endpoint{ID: "b", Service: "s"}, 4) }, false, map[string][]string{"s": {"v1", "v2"}}},
		{"another service", func() { known.Put(deployment.Endpoint{ID: "c", Service: "t", Software: "v1"}, 5) }, true, map[string][]string{"s": {"v1", "v2"}, "t": {"v1"}}},
		{"a removal", func() { known.Remove("a", 6) }, true, map[string][]string{"s": {"v2"}, "t": {"v1"}}},
	} {
		former := known.SoftwareRevision()
		step.apply()
		assert.Equal(t, step.changed, known.SoftwareRevision() != former, step.name)
		assert.Equal(t, step.want, known.Software(), step.name)
		for _, software := range []string{"", "v1", "v2"} {
			assert.Equal(t, assert.ObjectsAreEqual([]string{software}, step.want["s"]), known.RunsOnly("s", software), "%s: %q", step.name, software)
		}
	}
}
