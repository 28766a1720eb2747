// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"bytes"
	"sync"
)

// Output buffers what a process writes, and may be read at the same time. Its zero value is empty.
type Output struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(content []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.Write(content)
}

// String returns what was written so far.
func (o *Output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.String()
}
