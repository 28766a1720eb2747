// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package language is the operators' language: one grammar for commands, queries and explanations. docs/language.md
// shows every form.
//
// The grammar is the types' tags, of which participle builds the parser once; names of types appear in its errors, and
// parse.go turns them into words. The package owns no other state and starts no goroutines.
package language
