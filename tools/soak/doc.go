// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command soak runs the built shelfledge-entry as real processes between callers with persistent connections and stand-ins for the
// platform's store and endpoints. It injects faults by a plan drawn from a seed and checks the records of callers and endpoints for
// violated guarantees. docs/soak.md describes the coverage.
package main
