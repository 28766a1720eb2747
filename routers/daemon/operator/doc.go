// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operator serves operators: the language over HTTP, metrics and health.
package operator
