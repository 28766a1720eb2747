// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command demo shows the main job of both programs before stand-ins of their platforms: requests go
// through several processes while endpoints restart or leave, a process stops by plan and the
// configuration changes, and every answer is checked. Its parts are daemons (shelfledged with
// shelfctl) and entries (shelfledge-entry); both send their requests by one load generator.
package main
