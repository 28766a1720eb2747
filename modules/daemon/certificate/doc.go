// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package certificate serves TLS certificates from files that may be replaced while the process runs.
//
// A Reloader owns the certificate in use and looks at its files when a connection begins, at most once a second; it
// starts no goroutines.
package certificate
