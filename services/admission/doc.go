// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package admission decides whether a request that no endpoint can take yet goes on waiting
// or is refused at once, and when its caller should come back.
package admission
