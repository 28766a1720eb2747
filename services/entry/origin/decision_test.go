// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

var (
	unknown   = origin.Result{Verdict: origin.Unknown}
	ambiguous = origin.Result{Verdict: origin.Ambiguous}
	knownOne  = origin.Result{Verdict: origin.Known, Origin: one}
	knownTwo  = origin.Result{Verdict: origin.Known, Origin: two}
	soleOne   = origin.Result{Verdict: origin.SoleSoftware, Origin: one}
)

// sightings returns sightings of origins that serve.
func sightings(origins ...origin.Origin) []origin.Sighting {
	var seen []origin.Sighting
	for _, each := range origins {
		seen = append(seen, origin.Sighting{Origin: each})
	}
	return seen
}

func TestDecideLocally(t *testing.T) {
	unrestricted := origin.Result{Verdict: origin.Unrestricted, Origin: one}
	unstated := origin.Result{Verdict: origin.Unrestricted, Origin: origin.Origin{Service: "chat"}}
	for name, test := range map[string]struct {
		found    origin.Result
		known    []origin.Sighting
		proven   bool
		expected origin.Result
		final    bool
	}{
		"known":                      {knownOne, sightings(one, two), false, knownOne, true},
		"ambiguous":                  {ambiguous, sightings(one), true, ambiguous, true},
		"one software, proven":       {unknown, sightings(one), true, unrestricted, true},
		"one software, not proven":   {unknown, sightings(one), false, unknown, false},
		"several softwares":          {unknown, sightings(one, two), true, unknown, false},
		"no software, proven":        {unknown, nil, true, unknown, false},
		"unstated software, proven":  {unknown, sightings(origin.Origin{Service: "chat"}), true, unstated, true},
		"unstated software, another": {unknown, sightings(origin.Origin{Service: "chat"}, one), true, unknown, false},
	} {
		result, final := origin.DecideLocally(test.found, test.known, test.proven)
		assert.Equal(t, test.expected, result, name)
		assert.Equal(t, test.final, final, name)
	}
}

func TestDecide(t *testing.T) {
	answer := func(found origin.Result, origins ...origin.Origin) origin.Answer {
		return origin.Answer{Found: found, Sightings: sightings(origins...)}
	}
	for name, test := range map[string]struct {
		known    []origin.Sighting
		answers  []origin.Answer
		expected origin.Result
	}{
		"one knows":                              {sightings(one, two), []origin.Answer{answer(unknown, one), answer(knownTwo, one, two)}, knownTwo},
		"two agree":                              {sightings(one, two), []origin.Answer{answer(knownOne), answer(knownOne)}, knownOne},
		"two differ":                             {sightings(one, two), []origin.Answer{answer(knownOne), answer(knownTwo)}, ambiguous},
		"one has both":                           {sightings(one, two), []origin.Answer{answer(knownOne), answer(ambiguous)}, ambiguous},
		"ambiguity stays":                        {sightings(one, two), []origin.Answer{answer(ambiguous), answer(unknown), answer(knownOne)}, ambiguous},
		"nobody knows, several softwares":        {sightings(one, two), []origin.Answer{answer(unknown, one, two)}, unknown},
		"nobody knows, one software":             {sightings(one), []origin.Answer{answer(unknown, one), answer(unknown)}, soleOne},
		"nobody knows, another one saw a second": {sightings(one), []origin.Answer{answer(unknown, one), answer(unknown, two)}, unknown},
		"no answers, one software":               {sightings(one), nil, soleOne},
		"no answers, several softwares":          {sightings(one, two), nil, unknown},
		"no answers, no software":                {nil, nil, unknown},
		"only others know the software":          {nil, []origin.Answer{answer(unknown, one)}, soleOne},
		"several services of one route":          {sightings(one, origin.Origin{Service: "other", Software: "1.0"}), nil, unknown},
	} {
		assert.Equal(t, test.expected, origin.Decide(test.known, true, test.answers), name)
	}
}

func TestOnlySoftwareIsProvenByInstanceThatKnowsAll(t *testing.T) {
	one := sightings(one)
	incomplete, complete := origin.Answer{Found: unknown, Sightings: one}, origin.Answer{Found: unknown, Sightings: one, Complete: true}
	assert.Equal(t, unknown, origin.Decide(one, false, nil))
	assert.Equal(t, unknown, origin.Decide(one, false, []origin.Answer{incomplete, incomplete}))
	assert.Equal(t, soleOne, origin.Decide(one, false, []origin.Answer{incomplete, complete}))
	assert.Equal(t, soleOne, origin.Decide(one, true, []origin.Answer{incomplete}))
	assert.Equal(t, knownTwo, origin.Decide(one, false, []origin.Answer{{Found: knownTwo}}))
}
