// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package once claims requests that must not be repeated, in the platform's
// key-value service, so that neither another instance nor a successor of this one
// runs them a second time. Claims that come together share one write.
package once
