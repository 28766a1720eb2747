// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"path"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Rule says where matching work runs and at what priority; empty conditions match all.
type Rule struct {
	Name    string `json:"name"`
	Class   string `json:"class,omitempty"`
	Caller  string `json:"caller,omitempty"`
	Base    string `json:"base,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Hall    string `json:"hall,omitempty"`
	// From and To bound the time of day, in minutes after midnight in the time zone Zone.
	From int    `json:"from,omitempty"`
	To   int    `json:"to,omitempty"`
	Zone string `json:"zone,omitempty"`

	Halls    []string `json:"halls,omitempty"`
	Priority int      `json:"priority,omitempty"`
	Refuse   bool     `json:"refuse,omitempty"`
}

// minutesPerHour turns the time of day into From's and To's unit.
const minutesPerHour = int(time.Hour / time.Minute)

// Matches tells whether the rule applies to the request at the time.
func (r Rule) Matches(now time.Time, q fleet.Request) bool {
	if !glob(r.Class, q.Class) || !glob(r.Caller, q.Caller) || !glob(r.Base, q.Base) {
		return false
	}
	if !glob(r.Adapter, q.Adapter.Name) || !glob(r.Hall, q.Hall) {
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
		// A time zone is checked when the rule is set; one that this instance's tables lack is taken as UTC.
		location = time.UTC
	}
	local := now.In(location)
	minute := local.Hour()*minutesPerHour + local.Minute()
	if r.From < r.To {
		return minute >= r.From && minute < r.To
	}
	return minute >= r.From || minute < r.To
}

func glob(pattern, text string) bool {
	if pattern == "" {
		return true
	}
	ok, err := path.Match(pattern, text)
	return err == nil && ok
}
