// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operator serves operators: statements of their language over HTTP, metrics and health.
//
// A Router owns no state. It relies on services/daemon/access for who may ask, and on services/daemon/command and
// services/daemon/query for the answers; it starts no goroutines.
package operator
