// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"net/netip"
	"time"
)

// KV says how to use the platform's key-value service.
type KV struct {
	Addresses       []netip.AddrPort `json:"addresses"`
	Prefix          string           `json:"prefix"`
	Timeout         Duration         `json:"timeout"`
	ReadsPerSecond  float64          `json:"reads_per_second"`
	WritesPerSecond float64          `json:"writes_per_second"`
	// ClaimTTL is how long a request that must not be repeated stays claimed.
	ClaimTTL Duration `json:"claim_ttl"`
}

func defaultKV() KV {
	return KV{
		Prefix: "/shelfledge", Timeout: Duration(2 * time.Second), ReadsPerSecond: 100, WritesPerSecond: 15,
		ClaimTTL: Duration(24 * time.Hour),
	}
}

func (k KV) check(d *document) {
	if len(k.Addresses) == 0 {
		d.add("kv.addresses", "must not be empty")
	}
	positive(d, "kv.timeout", k.Timeout)
	positive(d, "kv.claim_ttl", k.ClaimTTL)
	if k.ReadsPerSecond <= 0 || k.WritesPerSecond <= 0 {
		d.add("kv.reads_per_second", "the rates must be above 0")
	}
}

// Platform says where the lagging list of instances is.
type Platform struct {
	List    netip.AddrPort `json:"list"`
	Every   Duration       `json:"every"`
	Timeout Duration       `json:"timeout"`
}

func defaultPlatform() Platform {
	return Platform{Every: Duration(500 * time.Millisecond), Timeout: Duration(2 * time.Second)}
}

func (p Platform) check(d *document) {
	positive(d, "platform.every", p.Every)
	positive(d, "platform.timeout", p.Timeout)
}

// Store is the weight store's rate.
type Store struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	AtFullSpeed    int     `json:"at_full_speed"`
}

func (s Store) check(d *document) {
	if s.LoadsPerSecond <= 0 {
		d.add("weight_store.loads_per_second", "must be above 0")
	}
	if s.AtFullSpeed < 1 {
		d.add("weight_store.at_full_speed", "must be 1 or more")
	}
}

func positive(d *document, name string, v Duration) {
	if v <= 0 {
		d.add(name, "must be above 0")
	}
}

func between[T int | float64](d *document, name string, v, low, high T) {
	if v < low || v > high {
		d.add(name, "%v is not from %v to %v", v, low, high)
	}
}

// checkDurations reports every time of a list that is not above zero.
func checkDurations(d *document, topic string, list map[string]Duration) {
	for name, v := range list {
		positive(d, fmt.Sprintf("%s.%s", topic, name), v)
	}
}
