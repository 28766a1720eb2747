// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command demo shows the main job: it starts stand-ins and daemons as processes,
// registers adapters with shelfctl, sends streaming requests over many more
// adapters than there are slots, restarts an engine and stops a daemon in the
// middle, and judges every answer.
package main
