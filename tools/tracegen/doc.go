// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command tracegen writes the fleet and trace files of a scenario, drawn from a seed.
package main
