// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package loading plans which adapters sit on which endpoints of one service: what to load
// next and where, what to withdraw and unload, and how fast, under the weight store's rate.
//
// A Planner is a plain state machine. It is told of endpoints, demand and the results of
// orders with the present time as an argument, and gives the next order when asked.
package loading
