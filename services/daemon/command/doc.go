// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package command turns operators' commands into changes of the configuration, commits them and waits until they are in
// force in the halls.
//
// A Service owns no state. It relies on modules/daemon/language for the parsed commands, on
// services/daemon/configuration for the commit and on the control thread for the halls' revisions; it starts no
// goroutines.
package command
