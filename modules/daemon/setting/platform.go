// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"net/netip"
	"time"
)

// Platform holds the settings for reading the platform's list of instances, which may be out of date.
type Platform struct {
	// List is the address of the list, Every the interval at which it is read, Timeout the timeout of a read.
	List    netip.AddrPort `json:"list"`
	Every   Duration       `json:"every"`
	Timeout Duration       `json:"timeout"`
}

// defaultPlatform returns the defaults.
//
//nolint:mnd // The fields name the numbers.
func defaultPlatform() Platform {
	return Platform{Every: Duration(500 * time.Millisecond), Timeout: Duration(2 * time.Second)}
}

func (p Platform) check(d *document) {
	checkPositive(d, "platform.every", p.Every)
	checkPositive(d, "platform.timeout", p.Timeout)
}

// Store holds the load rate of the weight store.
type Store struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	// AtFullSpeed is the number of concurrent loads that the store serves without slowing down.
	AtFullSpeed int `json:"at_full_speed"`
}

func (s Store) check(d *document) {
	if s.LoadsPerSecond <= 0 {
		d.addProblem("weight_store.loads_per_second", "must be above 0")
	}
	if s.AtFullSpeed < 1 {
		d.addProblem("weight_store.at_full_speed", "must be 1 or more")
	}
}
