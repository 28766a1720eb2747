// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package plan joins what the planner knows, the directory of endpoints and the members' reports, into one plan of
// loads for each service, and gathers the changes that the next view carries. It counts
// the base models' loads that former planners may have begun (loads.go). The rules of loading are in services/entry/loading;
// sending orders and views is the coordinator's. Plans is plain state of the control goroutine that starts nothing;
// the present time is an argument.
package plan
