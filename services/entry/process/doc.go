// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process assembles one entry process, starts its parts and shuts them down in order on a signal.
//
// It owns the log, the connections to endpoints, the coordinator, the gateway and the signal handling. Its options provide access to
// external systems (package platform creates them). It starts a goroutine that closes idle connections, one that releases the lease while a
// stop waits for requests, and the goroutines of its parts.
package process
