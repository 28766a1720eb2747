// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package outside runs the stand-ins for the platform's store and endpoints as child processes of the soak, so that they can be stopped,
// frozen and killed, and provides handles through which the soak controls them over HTTP.
//
// A child process owns its stand-in and the journal of its runs. It writes each event to the journal at once, so that a kill loses no
// event. A handle belongs to the soak and starts no goroutine.
package outside
