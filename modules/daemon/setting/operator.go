// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"encoding/hex"
	"fmt"
	"slices"
)

// The roles of operators. Each role includes the rights of the roles before it.
const (
	RoleRead   = "read"
	RoleChange = "change"
	RoleAdmin  = "admin"
)

// OperatorKey is the key of an operator; the settings contain only its hash.
type OperatorKey struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	SHA256 string `json:"sha256"`
}

// Operators holds the operators that may send queries and commands.
type Operators struct {
	Keys []OperatorKey `json:"keys"`
	// FailuresPerMinute bounds the failed logins per address.
	FailuresPerMinute int `json:"failures_per_minute"`
}

// sha256Length is the length of a SHA-256 hash in bytes.
const sha256Length = 32

func (o Operators) check(d *document) {
	if o.FailuresPerMinute < 1 {
		d.addProblem("operators.failures_per_minute", "must be 1 or more")
	}
	for i, k := range o.Keys {
		name := fmt.Sprintf("operators.keys[%d]", i)
		if k.Name == "" {
			d.addProblem(name+".name", "must be set")
		}
		if !slices.Contains([]string{RoleRead, RoleChange, RoleAdmin}, k.Role) {
			d.addProblem(name+".role", "%q is not read, change or admin", k.Role)
		}
		if raw, err := hex.DecodeString(k.SHA256); err != nil || len(raw) != sha256Length {
			d.addProblem(name+".sha256", "must be 64 hexadecimal digits")
		}
	}
}
