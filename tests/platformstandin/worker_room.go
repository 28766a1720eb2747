// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"net/http"
	"strconv"
	"time"
)

// Room is how many requests a worker accepts at once. The zero value accepts any number.
type Room struct {
	// Slots is the number of requests that run at once, and Queue the number of those that wait for a slot.
	Slots, Queue int
	// MaxConnections is the number of connections that are open at once; any beyond it is reset. 0 means no limit.
	MaxConnections int
	// Brittle is the value of the header that all answers have, the number of requests that the worker can reject in a second; 0 for no
	// header.
	Brittle int
	// Falls makes the worker crash once it rejects more requests in a second.
	Falls bool
}

// roomState is the state of the room of a worker, guarded by the mutex of the worker.
type roomState struct {
	Room

	running, waiting int
	// freed is closed and replaced when a slot becomes free or the room changes.
	freed chan struct{}
	// rejections are when requests were rejected within the last second; fallen is set once the worker has crashed because of them.
	rejections []time.Time
	rejected   int
	fallen     bool
}

func newRoomState(room Room) roomState {
	return roomState{Room: room, freed: make(chan struct{})}
}

// headerBrittle is the number of requests that a worker can reject in a second without crashing.
const headerBrittle = "Server-Brittle"

// SetRoom sets how many requests the worker accepts at once.
func (w *Worker) SetRoom(room Room) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.room.Room = room
	w.connections.setLimit(room.MaxConnections)
	w.announceFreeSlot()
}

// ResetConnections returns how many connections were reset because too many were open.
func (w *Worker) ResetConnections() int {
	return w.connections.resetCount()
}

// Rejected returns how many requests were rejected for want of room.
func (w *Worker) Rejected() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.room.rejected
}

// HasFallen reports whether the worker crashed because it rejected too many requests.
func (w *Worker) HasFallen() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.room.fallen
}

// announceFreeSlot wakes up the requests that wait for a slot. The caller must hold the mutex.
func (w *Worker) announceFreeSlot() {
	close(w.room.freed)
	w.room.freed = make(chan struct{})
}

// takeSlot waits for a free slot. If it returns false, the request was rejected, or its sender closed the connection.
func (w *Worker) takeSlot(writer http.ResponseWriter, request *http.Request) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.room.Brittle > 0 {
		writer.Header().Set(headerBrittle, strconv.Itoa(w.room.Brittle))
	}
	if w.room.Slots > 0 && w.room.running >= w.room.Slots && w.room.waiting >= w.room.Queue {
		w.reject(writer)
		return false
	}
	w.room.waiting++
	for w.room.Slots > 0 && w.room.running >= w.room.Slots && request.Context().Err() == nil {
		w.waitForFreeSlot(request)
	}
	w.room.waiting--
	if request.Context().Err() != nil {
		return false
	}
	w.room.running++
	return true
}

// waitForFreeSlot waits until a slot may be free. The caller must hold the mutex, which is released meanwhile.
func (w *Worker) waitForFreeSlot(request *http.Request) {
	freed := w.room.freed
	w.mutex.Unlock()
	defer w.mutex.Lock()
	select {
	case <-freed:
	case <-request.Context().Done():
	}
}

// freeSlot ends the run of a request.
func (w *Worker) freeSlot() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.room.running--
	w.announceFreeSlot()
}

// rejectionWindow is the time in which a brittle worker counts rejections.
const rejectionWindow = time.Second

// reject rejects a request without a run, which may crash the worker. The caller must hold the mutex.
func (w *Worker) reject(writer http.ResponseWriter) {
	now := time.Now()
	recent := w.room.rejections[:0]
	for _, at := range w.room.rejections {
		if now.Sub(at) < rejectionWindow {
			recent = append(recent, at)
		}
	}
	w.room.rejections = append(recent, now)
	w.room.rejected++
	if w.room.Falls && len(w.room.rejections) > w.room.Brittle && !w.room.fallen {
		w.room.fallen = true
		go w.Crash()
	}
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}
