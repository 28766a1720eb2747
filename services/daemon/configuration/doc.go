// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package configuration stores and follows the operators' configuration in the
// platform's key-value service: a log of records and one head key that is moved by
// compare-and-swap. Each record has an identifier, so that a lost answer is settled
// by reading what is there.
package configuration
