// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package plan combines the directory of endpoints and the reports of the members into one loading plan per service, and collects
// the changes that the next view contains. It also counts the base-model loads that former planners may have started (loads.go).
// The rules of loading are in services/entry/loading; the coordinator sends the orders and views.
//
// Plans belongs to the control goroutine and starts no goroutine; the current time is passed as an argument.
package plan
