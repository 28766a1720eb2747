// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway serves callers, the balancer's question for readiness and metrics over HTTP,
// and ends without cutting off what is under way.
package gateway
