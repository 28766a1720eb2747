// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tcp opens connections whose unsent bytes die with them.
package tcp
