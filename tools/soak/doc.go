// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command soak runs the built shelfledge-entry as real processes between callers that keep their connections and stand-ins of the
// platform's store and endpoints, disturbs them by a plan drawn from a seed, and checks from what callers and endpoints saw that no
// promise was broken. docs/soak.md says what it covers.
package main
