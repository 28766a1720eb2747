// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package certificate provides TLS certificates from files that may be replaced while the process runs.
//
// A Reloader owns the certificate in use. It checks the modification times of its files during TLS handshakes, at most once a second, and
// starts no goroutines.
package certificate
