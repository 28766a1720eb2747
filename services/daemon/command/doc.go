// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package command translates operators' commands into configuration changes, commits the changes and waits until they
// are in force in all halls.
//
// A Service has no state of its own and starts no goroutines. modules/daemon/language parses the commands,
// services/daemon/configuration commits the changes, and the control goroutine supplies the revision in force in each hall.
package command
