// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"path"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Rule determines where matching requests run and at what priority, or rejects them. Class, Caller, Base, Adapter and Hall are glob
// patterns; an empty pattern matches every request.
type Rule struct {
	Name    string `json:"name"`
	Class   string `json:"class,omitempty"`
	Caller  string `json:"caller,omitempty"`
	Base    string `json:"base,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Hall    string `json:"hall,omitempty"`
	// From and To limit the rule to a time of day, in minutes after midnight in the time zone Zone; equal values mean all day.
	From int    `json:"from,omitempty"`
	To   int    `json:"to,omitempty"`
	Zone string `json:"zone,omitempty"`

	Halls    []string `json:"halls,omitempty"`
	Priority int      `json:"priority,omitempty"`
	Refuse   bool     `json:"refuse,omitempty"`
}

// minutesPerHour converts the hour of the day into the unit of Rule.From and Rule.To.
const minutesPerHour = int(time.Hour / time.Minute)

// Matches reports whether the rule applies to the request at the given time.
func (r Rule) Matches(now time.Time, q fleet.Request) bool {
	if !matchesGlob(r.Class, q.Class) || !matchesGlob(r.Caller, q.Caller) || !matchesGlob(r.Base, q.Base) {
		return false
	}
	if !matchesGlob(r.Adapter, q.Adapter.Name) || !matchesGlob(r.Hall, q.Hall) {
		return false
	}
	return r.matchesTime(now)
}

func (r Rule) matchesTime(now time.Time) bool {
	if r.From == r.To {
		return true
	}
	location, err := time.LoadLocation(r.Zone)
	if err != nil {
		// The time zone was validated when the rule was set. UTC is used if this instance's time zone database lacks it.
		location = time.UTC
	}
	local := now.In(location)
	minute := local.Hour()*minutesPerHour + local.Minute()
	if r.From < r.To {
		return minute >= r.From && minute < r.To
	}
	return minute >= r.From || minute < r.To
}

func matchesGlob(pattern, text string) bool {
	if pattern == "" {
		return true
	}
	ok, err := path.Match(pattern, text)
	return err == nil && ok
}
