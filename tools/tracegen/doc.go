// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command tracegen draws the traces of testdata for the replay tool from a seed: Zipf popularity
// over thousands of adapters, daily tides, popularity flips, overnight volume and faults.
package main
