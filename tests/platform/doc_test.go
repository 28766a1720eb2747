// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform_test runs complete entry processes against the fakes of the users' platform: its store, its workers and
// its callers.
package platform_test
