// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import "sync"

// tasks are the goroutines of a service besides its control goroutine.
type tasks struct {
	mutex   sync.Mutex
	stopped bool
	group   sync.WaitGroup
}

// start runs work in a goroutine of its own, unless the tasks were stopped.
func (t *tasks) start(work func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// A goroutine that began beside the wait would outlive the service, and still send orders to endpoints.
	if t.stopped {
		return
	}
	t.group.Go(work)
}

// stop waits until all tasks have ended and lets no other one begin.
func (t *tasks) stop() {
	t.mutex.Lock()
	t.stopped = true
	t.mutex.Unlock()
	t.group.Wait()
}
