// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package origin decides where a stream may go on that its caller takes up at another attempt.
//
// Endpoints of several software versions may serve one service side by side, and a stream may go on only at an endpoint of the service and
// the software that began it, its origin. The instance that forwarded the first event knows the origin. It tells it to a few other
// instances, the holders, and an instance that lacks the origin of a stream asks the holders. Both choose them by rendezvous hashing over
// the same list of instances, so that they agree although the list changes. What no instance knows is not guessed.
//
// All instances can be lost at once. Package archive keeps in the store which softwares served lately and, while several do, where streams began;
// few instances (Holders.Archiver) write for all. A software is taken for the only one only where an instance has read the archive since it started.
//
// The package has the records of an instance (Table), which softwares have been known (History), the choice of instances to tell and to ask
// (Holders), and the decision over what is known (DecideLocally, Decide). It has no input or output, starts no goroutine, takes the present
// time as an argument and is not safe for concurrent use, except for Holders, which never changes. Package exchange carries its messages, and reads
// and writes the archive.
package origin
