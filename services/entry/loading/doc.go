// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package loading plans which adapters sit on which endpoints of one service: what to load
// next and where, what to withdraw and unload, and how fast, under the weight store's rate.
//
// A Planner is a plain state machine. Its methods take in endpoints, demand and the results of
// orders with the present time as an argument, and Next gives the next order. It owns the plan of copies (copy.go), what
// endpoints say of themselves (adopt.go), how many orders they have taken (count.go), the demand of all instances
// (demand.go, surge.go) and the pace of loads (pace.go, limiter.go); it relies on the coordinator to send its orders, one at a time for
// an endpoint, and on the settings for the weight store's bound. It does no I/O and starts no goroutine.
//
// The invariant: what an endpoint holds and loads, and what it was ordered to load and has not refused, is never more than its
// places and its memory, and nothing is unloaded that loads or is in use, whatever is late, lost or reordered between planners,
// endpoints, their descriptions in the store and their reports. TestNoShortHistoryBreaksTheInvariant searches for what breaks it.
//
// The rules, a file each: which order goes first (next.go), base models (model.go), what a copy is worth (value.go), where it
// is loaded (placement.go), what makes room (eviction.go), when adapters on their way are expected (forecast.go),
// and what follows from an endpoint's answer (result.go).
package loading
