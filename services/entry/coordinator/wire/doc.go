// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package wire defines the messages that instances send each other over modules/entry/peerstream: the reports of members, the views
// of the planner, the request of a starting instance and the announcement of a successor.
//
// Two versions of the program run side by side during a rolling restart. Encoded names, and the order of fields that are encoded
// without names, must therefore not change, and the zero value of a new field must mean the same as a message of an older version
// that lacks the field.
package wire
