// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin

import "time"

// expiredKeys are the keys of streams that this instance began and whose records have expired. Each is kept for MaxLifetime at least: a caller may
// take up its stream later than the record states, and the instance must not deny then that it began it.
type expiredKeys struct {
	// recent are those since rotatedAt, former those of the MaxLifetime before.
	recent, former map[Key]struct{}
	rotatedAt      time.Time
}

// add adds a key. It returns false if there is no room.
func (e *expiredKeys) add(key Key) bool {
	if len(e.recent) >= maxRecords {
		return false
	}
	if e.recent == nil {
		e.recent = make(map[Key]struct{})
	}
	e.recent[key] = struct{}{}
	return true
}

// has reports whether a key is kept.
func (e *expiredKeys) has(key Key) bool {
	_, isRecent := e.recent[key]
	_, isFormer := e.former[key]
	return isRecent || isFormer
}

// rotate drops the keys that have been kept for long enough.
func (e *expiredKeys) rotate(now time.Time) {
	if now.Sub(e.rotatedAt) >= MaxLifetime {
		e.recent, e.former, e.rotatedAt = nil, e.recent, now
	}
}
