// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"encoding/hex"
	"fmt"
	"slices"
)

// The roles of operators, each with the rights of those before it.
const (
	RoleRead   = "read"
	RoleChange = "change"
	RoleAdmin  = "admin"
)

// OperatorKey is one operator's key, of which only the hash is known.
type OperatorKey struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	SHA256 string `json:"sha256"`
}

// Operators says who may ask and change.
type Operators struct {
	Keys []OperatorKey `json:"keys"`
	// FailuresPerMinute bounds the failed log-ins of one address.
	FailuresPerMinute int `json:"failures_per_minute"`
}

// sha256Length is the length of a key's hash, in bytes.
const sha256Length = 32

func (o Operators) check(d *document) {
	if o.FailuresPerMinute < 1 {
		d.add("operators.failures_per_minute", "must be 1 or more")
	}
	for i, k := range o.Keys {
		name := fmt.Sprintf("operators.keys[%d]", i)
		if k.Name == "" {
			d.add(name+".name", "must be set")
		}
		if !slices.Contains([]string{RoleRead, RoleChange, RoleAdmin}, k.Role) {
			d.add(name+".role", "%q is not read, change or admin", k.Role)
		}
		if raw, err := hex.DecodeString(k.SHA256); err != nil || len(raw) != sha256Length {
			d.add(name+".sha256", "must be 64 hexadecimal digits")
		}
	}
}
