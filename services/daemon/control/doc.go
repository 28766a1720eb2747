// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package control runs a daemon's control state: one goroutine owns the node and
// takes typed inputs; others carry out its effects towards peers, endpoints and
// the platform, and answer by further inputs.
package control
