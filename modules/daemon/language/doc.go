// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package language is the operators' language: one grammar for commands, queries
// and explanations. docs/language.md shows every form.
package language
