// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package archive keeps in the store what has to outlive all instances: which softwares served lately, at which of them each
// process begins streams, and where streams began.
//
// Each process that writes has keys of its own, so that no two of them write the same one and no transaction needs a condition. Keys are under
// leases that last at least as long as what they state can matter. Entries that a program of another version wrote and that cannot be read are
// counted, so that the reader knows that it does not know everything.
//
// Archive is not safe for concurrent use, except for Read, which keeps no state. The package starts no goroutine.
package archive
