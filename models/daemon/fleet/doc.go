// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet holds the typed records that the system's processes share:
// instances, endpoints, requests, tickets, events and the messages between peers.
package fleet
