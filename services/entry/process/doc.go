// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process joins the parts of one entry process, starts them and ends them in order
// when a signal ends the process.
//
// It owns the log, the connections to endpoints, the coordinator and the gateway, and the signals of the process. It relies on
// its options for the world outside (platform/ makes them). It starts a goroutine that closes idle connections, one that
// releases the lease while a stop waits for requests, and those of its parts.
package process
