// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package daemon pins, as files under testdata, what others see of shelfledged and
// shelfctl: stored values, messages between instances, HTTP, and the operators'
// language. The files change only with -update, and only when what others see is
// meant to change: two versions of the program run side by side during a restart.
package daemon
