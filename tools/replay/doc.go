// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command replay replays a recorded trace against the decision functions of the product or against a
// baseline and prints the results.
package main
