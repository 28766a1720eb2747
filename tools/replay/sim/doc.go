// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package sim replays a recorded trace against the product's own decision
// functions and against baselines, on one small model of endpoints (slots, load
// time, a batch step) and of the weight store, with the trace's time as the present.
package sim
