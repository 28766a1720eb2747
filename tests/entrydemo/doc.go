// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command entrydemo starts stand-ins of the users' platform and three shelfledge-entry
// processes, sends requests while a worker drains, an entry stops and the configuration changes,
// and checks every answer.
package main
