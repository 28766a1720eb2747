// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import "sync"

// workers are the goroutines of a service besides its control goroutine.
type workers struct {
	mutex   sync.Mutex
	stopped bool
	group   sync.WaitGroup
}

// start runs work in a goroutine of its own, unless the workers were stopped.
func (w *workers) start(work func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	// A goroutine that began beside the wait would outlive the service, and still send orders to endpoints.
	if w.stopped {
		return
	}
	w.group.Go(work)
}

// stop waits until all workers have ended and lets no other one begin.
func (w *workers) stop() {
	w.mutex.Lock()
	w.stopped = true
	w.mutex.Unlock()
	w.group.Wait()
}
