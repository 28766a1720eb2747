// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package language parses the operators' language, which has commands, queries and explanations. docs/language.md shows every form.
//
// The grammar is in the tags of the types, from which participle builds the parser when the program starts. The parser's errors contain
// names of types; parse.go replaces them by the expected keywords. The package owns no other state and starts no goroutines.
package language
