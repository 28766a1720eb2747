// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package words holds no code: its test keeps the words of the users' platform out of the entry program.
package words
