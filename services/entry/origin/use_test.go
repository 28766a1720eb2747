// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

func TestFindRemaining(t *testing.T) {
	const first, second = 1, 2
	unstated := origin.Origin{Service: "chat"}
	use := func(process uint64, at origin.Origin) origin.Use {
		return origin.Use{User: origin.User{Process: process}, Origin: at}
	}
	sole := func(at origin.Origin) origin.Sighting { return origin.Sighting{Origin: at, WasSole: true} }
	seen := func(at origin.Origin) origin.Sighting { return origin.Sighting{Origin: at} }
	onlyOne := origin.Result{Verdict: origin.OnlyPossible, Origin: one}
	deniedByFirst := map[uint64]bool{first: true}
	many := []origin.Sighting{sole(one)}
	for i := range 15 {
		many = append(many, seen(origin.Origin{Service: "chat", Software: fmt.Sprint(i)}))
	}
	for name, test := range map[string]struct {
		known    []origin.Sighting
		uses     []origin.Use
		denied   map[uint64]bool
		expected origin.Result
	}{
		"one was sole, and another process is gone":         {[]origin.Sighting{sole(one), seen(two)}, []origin.Use{use(second, one)}, deniedByFirst, onlyOne},
		"one was sole, and nobody is gone":                  {[]origin.Sighting{sole(one), seen(two)}, nil, deniedByFirst, unknown},
		"one was sole, and all deny":                        {[]origin.Sighting{sole(one), seen(two)}, []origin.Use{use(first, one), use(first, two)}, deniedByFirst, unknown},
		"both were sole":                                    {[]origin.Sighting{sole(one), sole(two)}, nil, deniedByFirst, unknown},
		"a process that denies used the other":              {[]origin.Sighting{sole(one), seen(two)}, []origin.Use{use(first, two), use(second, one)}, deniedByFirst, onlyOne},
		"another process used the other":                    {[]origin.Sighting{sole(one), seen(two)}, []origin.Use{use(second, two)}, deniedByFirst, unknown},
		"another process used one":                          {[]origin.Sighting{seen(one), seen(two)}, []origin.Use{use(second, one)}, deniedByFirst, onlyOne},
		"another process used both":                         {[]origin.Sighting{seen(one), seen(two)}, []origin.Use{use(second, one), use(second, two)}, deniedByFirst, unknown},
		"nobody used any":                                   {[]origin.Sighting{seen(one), seen(two)}, nil, deniedByFirst, unknown},
		"another process used more than it states":          {[]origin.Sighting{sole(one), seen(two)}, []origin.Use{use(second, origin.Any)}, deniedByFirst, unknown},
		"known twice":                                       {[]origin.Sighting{sole(one), seen(two), seen(one)}, []origin.Use{use(second, one)}, deniedByFirst, onlyOne},
		"an endpoint states no software":                    {[]origin.Sighting{sole(one), seen(unstated)}, []origin.Use{use(second, one)}, deniedByFirst, onlyOne},
		"another process used an endpoint without software": {[]origin.Sighting{sole(one), seen(unstated)}, []origin.Use{use(second, unstated)}, deniedByFirst, unknown},
		"so many softwares that some are forgotten":         {many, []origin.Use{use(second, one)}, deniedByFirst, unknown},
		"one less": {many[:15], []origin.Use{use(second, one)}, deniedByFirst, onlyOne},
	} {
		assert.Equal(t, test.expected, origin.FindRemaining(test.known, test.uses, test.denied, false), name)
	}
	known := []origin.Sighting{sole(one), seen(two)}
	assert.Equal(t, onlyOne, origin.FindRemaining(known, nil, deniedByFirst, true), "one was sole, and an instance is gone")
	assert.Equal(t, onlyOne, origin.FindRemaining(known, []origin.Use{use(first, two)}, deniedByFirst, true), "the other is used by one that denies")
	assert.Equal(t, unknown, origin.FindRemaining(known, []origin.Use{use(second, two)}, deniedByFirst, true), "the other may be used by the one that is gone")
	assert.Equal(t, unknown, origin.FindRemaining([]origin.Sighting{seen(one), seen(two)}, nil, deniedByFirst, true), "none was sole")
}
