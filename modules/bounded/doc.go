// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package bounded reads what other processes send within bounds of bytes and of time: the heads of answers, bodies that are dropped, bodies
// that are decoded, and what is left of a request's body after its response. Functions of the standard library such as http.ReadResponse, io.Copy and json.Decoder read for as long as bytes come.
// A Listener bounds how many connections other processes have open.
//
// It owns no connection but those that a Listener refuses. It starts a timer for a head or a body that has not arrived as a whole, which ends
// with the reading.
package bounded
