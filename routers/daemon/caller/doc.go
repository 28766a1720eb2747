// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package caller serves callers: OpenAI-compatible HTTP for adapters and services,
// and plain services under their own path prefixes.
package caller
