// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import "sync"

// tasks tracks the goroutines of a service other than its control goroutine.
type tasks struct {
	mutex   sync.Mutex
	stopped bool
	group   sync.WaitGroup
}

// start runs work in a goroutine of its own, unless the tasks were stopped.
func (t *tasks) start(work func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// A goroutine that started during the wait in stop would outlive the service and could still send orders to endpoints.
	if t.stopped {
		return
	}
	t.group.Go(work)
}

// stop waits until all tasks have ended and prevents further ones from starting.
func (t *tasks) stop() {
	t.mutex.Lock()
	t.stopped = true
	t.mutex.Unlock()
	t.group.Wait()
}
