// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"net/netip"
	"time"
)

// KV holds the settings for the platform's key-value service.
type KV struct {
	Addresses       []netip.AddrPort `json:"addresses"`
	Prefix          string           `json:"prefix"`
	Timeout         Duration         `json:"timeout"`
	ReadsPerSecond  float64          `json:"reads_per_second"`
	WritesPerSecond float64          `json:"writes_per_second"`
	// ClaimTTL is how long a request that must not be repeated stays claimed.
	ClaimTTL Duration `json:"claim_ttl"`
}

// defaultKV returns the defaults. The rates are the share of one instance in the rate that the service can handle, by the calculation in
// docs/capacity-shelfledged.md.
//
//nolint:mnd // The fields name the numbers.
func defaultKV() KV {
	return KV{
		Prefix: "/shelfledge", Timeout: Duration(2 * time.Second), ReadsPerSecond: 100, WritesPerSecond: 15,
		ClaimTTL: Duration(24 * time.Hour),
	}
}

func (k KV) check(d *document) {
	if len(k.Addresses) == 0 {
		d.addProblem("kv.addresses", "must not be empty")
	}
	checkPositive(d, "kv.timeout", k.Timeout)
	checkPositive(d, "kv.claim_ttl", k.ClaimTTL)
	if k.ReadsPerSecond <= 0 {
		d.addProblem("kv.reads_per_second", "the rates must be above 0")
	}
	if k.WritesPerSecond <= 0 {
		d.addProblem("kv.writes_per_second", "the rates must be above 0")
	}
}
