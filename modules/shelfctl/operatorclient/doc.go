// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operatorclient sends statements to the operators' listeners of several
// daemons in turn, until one answers.
package operatorclient
