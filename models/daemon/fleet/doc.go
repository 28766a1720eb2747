// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet defines the types that the daemon's instances share: instances, endpoints, requests, tickets, events
// and the messages between peers.
//
// The messages are encoded by the tags of their fields. The types without tags that they contain (Request, Ticket,
// Instance, Refusal, AdapterRef and Class) are encoded by the names of their fields. Instances of two program versions
// exchange these messages during an upgrade, so the tags and these names must not change. The package has no state,
// imports no other package of the program and starts no goroutines.
package fleet
