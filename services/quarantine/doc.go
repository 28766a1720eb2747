// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine keeps requests from endpoints that they would crash.
//
// A request that ends the process which runs it comes again, at any instance, and the endpoint that ended is no help against it: the next
// one is sound. So a crash is remembered here against the requests that the endpoint had. It owns what counts as evidence (evidence.go): a
// request is held back after crashCount crashes without a whole answer since, for which no other request is the likelier cause, and no common
// cause of several endpoints. An endpoint's end counts as well against what it may still have had though nobody waits for it (unanswered.go).
// It also owns for how long (hold.go), what instances tell each other of it, which may be told twice and in any
// order (table.go), and what is forgotten. It relies on its caller for whether an endpoint's end was planned. It does no I/O and starts no
// goroutine; the present time is an argument.
package quarantine
