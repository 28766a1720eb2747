// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package docs has no code outside its tests. They check that the names in the Markdown pages exist in the repository.
package docs
