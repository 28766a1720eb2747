// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package words has no code outside its tests. They check that the programs use the project's terms, such as endpoint and hall,
// and not those of the users' platform.
package words
