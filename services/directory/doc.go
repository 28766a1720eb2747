// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory is what one instance knows of the endpoints: their own descriptions, the
// adapters they hold, the requests in flight at each, and how they have behaved. It is a plain
// state machine: the present time is an argument and nothing is started.
package directory
