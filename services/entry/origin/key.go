// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin

import (
	"hash/fnv"
	"time"
)

// MaxLifetime bounds how long the origin of a stream and the softwares of a service are remembered. A higher value lets callers take up
// older streams, a lower one takes less memory and ends the telling sooner after a replacement.
const MaxLifetime = 10 * time.Minute

// Key identifies a stream by its route and the attempt that brought its first event.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(route, attempt string) Key {
	hash := fnv.New64a()
	// Write of a hash never fails.
	_, _ = hash.Write([]byte(route))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(attempt))
	return Key(hash.Sum64())
}

// Origin is where a stream began. An empty software is one that the endpoint did not state.
type Origin struct {
	Service  string
	Software string
}

// mix spreads the bits of a number over all of them. The constants are those of the MurmurHash3 finalizer.
func mix(bits uint64) uint64 {
	const first, second, shift = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53, 33
	bits = (bits ^ bits>>shift) * first
	bits = (bits ^ bits>>shift) * second
	return bits ^ bits>>shift
}
