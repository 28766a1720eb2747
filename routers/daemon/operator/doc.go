// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operator implements the HTTP interface for operators: statements of the operators' language, metrics and health
// checks.
//
// A Router has no state. It uses services/daemon/access to authenticate operators, services/daemon/command to execute
// changes and services/daemon/query to answer queries. The package starts no goroutines.
package operator
