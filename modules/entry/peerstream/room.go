// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerstream

import "sync"

// Room bounds the bytes of the large messages that several streams receive at once. A nil Room has no bound. It is safe for concurrent use.
type Room struct {
	mutex     sync.Mutex
	freeBytes int
}

// NewRoom returns a Room for a number of bytes, which should be several times that of the largest message.
func NewRoom(bytes int) *Room {
	return &Room{freeBytes: bytes}
}

// take takes the place of a message, or returns false if there is none. A small message needs no place.
func (r *Room) take(bytes int) bool {
	if r == nil || bytes <= freeMessageBytes {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.freeBytes < bytes {
		return false
	}
	r.freeBytes -= bytes
	return true
}

// release gives back the place of a message that take accepted.
func (r *Room) release(bytes int) {
	if r == nil || bytes <= freeMessageBytes {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.freeBytes += bytes
}
