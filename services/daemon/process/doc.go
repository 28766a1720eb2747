// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process puts a daemon together from its settings, runs it and stops it
// without cutting off what is in flight.
package process
