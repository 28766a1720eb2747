// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package exchange tells other instances where streams began, and asks them about streams that this instance does not know.
//
// A Service keeps the records of package origin. While one software alone serves it tells no streams, only from time to time
// that it takes the software for the only one. Once several are known, it tells the holders of each stream that this instance begins, and all those
// before that may still be taken up. Messages are single datagrams (message.go) that may be lost: more than one holder is told, and a question is
// repeated to those that are silent.
//
// What has to outlive all instances goes through package archive: every instance reads it at the start and where nobody knows a stream, and few
// of the list write for all, who are told streams like a holder (archive_reader.go, archive_writer.go).
//
// Start starts five goroutines, which Close ends: runReceiver handles what other instances send, runTeller tells holders and removes what has
// expired, runArchiveReader and runArchiveWriter call the store, runBuildCheck finds instances that state no uses. Find waits in the goroutine of its caller; a reading of the archive that it
// begins goes on in a goroutine of its own, since others may wait for it. All methods are safe for concurrent use.
package exchange
