// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet holds the typed values that the daemon's instances share: instances, endpoints, requests, tickets,
// events and the messages between peers.
//
// The messages, and the values without tags that they hold (Request, Ticket, Instance, Refusal, AdapterRef and
// Class), are encoded by the names of their fields or tags: two versions of the program run side by side, so
// these stay. The package owns no state, relies on nothing of this program and starts no goroutines.
package fleet
