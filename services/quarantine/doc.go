// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine detects requests that crash endpoints and quarantines them, so that they are not sent to further endpoints.
//
// A request that ends the process that runs it may be sent again, to any instance. Ejecting the ended endpoint does not help, since the
// next endpoint that gets the request is healthy. A crash is therefore recorded against the requests that the endpoint had in flight.
//
// The package implements what counts as evidence (evidence.go): a request is quarantined after crashThreshold crashes without a complete
// response since, unless another request is the likelier cause of them, or several endpoints ended together and the request had been
// answered before (answers.go). The end of an endpoint also counts against requests that it may still have been running though their
// callers had left (unanswered.go). The package also implements to how many endpoints a request may be sent before anything is proved
// against it, and which instance tries it (admit.go), how long it is quarantined (hold.go), and the records that instances exchange, which
// may arrive more than once and in any order, and their retention (table.go). A table of parts of prompts (NewPartTable) finds out what
// requests have in common that are never alike: the same evidence by part, without limits before anything is proved. The caller decides whether the end of an endpoint was
// planned. The package does no I/O, starts no goroutine and takes the current time as an argument.
package quarantine
