// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package certificate serves TLS certificates from files that may be replaced while the process runs.
package certificate
