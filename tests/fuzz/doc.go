// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fuzz holds the stateful fuzz test of the joint action of several nodes;
// all of it is in its test files.
package fuzz
