// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package sim replays a recorded trace against the decision functions of the product and against
// baselines. It simulates the endpoints (slots, load time, batch step) and the weight store with a
// small model; the simulated time is that of the trace.
package sim
