// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package docs holds the test that the names in the pages exist; all of it is in its test files.
package docs
