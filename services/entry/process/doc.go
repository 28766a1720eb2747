// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process joins the parts of one entry process, starts them and ends them in order
// when the process is told to stop.
package process
