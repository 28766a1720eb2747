// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platformstandin provides fakes of the entry program's environment, for tests and the demo only: the store of the
// users' platform, workers that speak its protocol and have faults that can be switched on, and callers. Package standin
// provides the fakes for the daemon. The two are separate packages because they differ in every protocol. The fakes do not
// model the timing of inference engines: a stream sends its events at a fixed interval, whatever the load. Stores and
// workers serve in goroutines that end with Close.
package platformstandin
