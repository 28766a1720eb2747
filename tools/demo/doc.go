// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command demo runs both programs in front of stand-ins of their platforms: requests go through several processes
// while endpoints restart or leave, a process stops as planned and the configuration changes, and every answer is
// checked. It has two parts, daemons (shelfledged with shelfctl) and entries (shelfledge-entry). One load generator
// sends the requests of each part.
package main
