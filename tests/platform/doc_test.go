// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform_test runs whole entry processes against the platform's stand-ins.
package platform_test
