// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

// unloads tracks the unload orders in flight of each pool, and the pools whose release waits for them. It belongs to the
// control goroutine.
//
// Another instance may own a pool as soon as its key is released, and grant the adapter that an earlier order unloads. On
// endpoints that check no fences nothing else keeps that order from arriving beside the granted request.
type unloads struct {
	inFlight map[string]int
	releases map[string]bool
}

func newUnloads() unloads {
	return unloads{inFlight: make(map[string]int), releases: make(map[string]bool)}
}

func (u *unloads) begin(pool string) {
	u.inFlight[pool]++
}

// end counts an unload as answered. It returns true if the release of the pool waited only for it.
func (u *unloads) end(pool string) bool {
	u.inFlight[pool]--
	if u.inFlight[pool] > 0 {
		return false
	}
	delete(u.inFlight, pool)
	release := u.releases[pool]
	delete(u.releases, pool)
	return release
}

// deferRelease makes the release of a pool wait for its unloads in flight. It returns false if there are none.
func (u *unloads) deferRelease(pool string) bool {
	if u.inFlight[pool] == 0 {
		return false
	}
	u.releases[pool] = true
	return true
}

// cancelRelease cancels the waiting release of a pool that this instance is to own again.
func (u *unloads) cancelRelease(pool string) {
	delete(u.releases, pool)
}
