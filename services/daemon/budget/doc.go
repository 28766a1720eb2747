// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package budget shares the weight store's rate among the pools of all halls:
// a permit goes to the most valuable load first, and a hall that is cut off
// keeps its own part of the rate.
package budget
