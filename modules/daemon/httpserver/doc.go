// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpserver serves go-zero's rest routes on a listener of the caller's
// choice, without the middlewares that answer by themselves or buffer answers.
package httpserver
