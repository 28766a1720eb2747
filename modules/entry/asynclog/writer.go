// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package asynclog

import (
	"io"
	"sync"
	"time"
)

// Options configure a Writer.
type Options struct {
	Output io.Writer
	// LinesPerSecond and Burst are the rate limit: the sustained rate and the size of the token bucket.
	LinesPerSecond float64
	Burst          float64
	// Queue is how many lines may be queued for a slow output, with maxQueuedBytes together at most.
	Queue int
	// Now returns the current time.
	Now func() time.Time
	// Summary returns the line that reports how many lines were suppressed since the last such line.
	Summary func(now time.Time, suppressed uint64) string
}

// maxQueuedBytes bounds the lines queued for a slow output, in bytes: 512 lines of 1 KiB, three times the longest line of a request in
// tests/pinned/entry (345 bytes). A higher value loses fewer long lines, a lower one takes less memory on a small instance.
const maxQueuedBytes = 512 << 10

// summaryInterval is how often suppressed lines are reported. A higher value adds fewer lines, a lower one reports sooner.
const summaryInterval = time.Second

// Writer is an io.Writer whose Write never blocks.
type Writer struct {
	options    Options
	lines      chan []byte
	stop       chan struct{}
	done       chan struct{}
	mutex      sync.Mutex
	tokens     float64
	refilledAt time.Time
	// queuedBytes counts the bytes of the lines that are queued or being written.
	queuedBytes     int
	suppressed      uint64
	totalSuppressed uint64
}

// New starts a writer; Close ends it.
func New(options Options) *Writer {
	w := &Writer{
		options: options, lines: make(chan []byte, options.Queue), stop: make(chan struct{}), done: make(chan struct{}),
		tokens: options.Burst, refilledAt: options.Now(),
	}
	go w.run()
	return w
}

// Write queues one line, or counts it as suppressed.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.admit(len(line)) {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.undoAdmit(len(line))
	}
	return len(line), nil
}

// admit reports whether the rate and the queue allow a line of the given length, and counts it as queued or as suppressed.
func (w *Writer) admit(length int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.options.Now()
	w.tokens = min(w.options.Burst, w.tokens+now.Sub(w.refilledAt).Seconds()*w.options.LinesPerSecond)
	w.refilledAt = now
	if w.tokens < 1 {
		w.suppress()
		return false
	}
	w.tokens--
	if w.queuedBytes+length > maxQueuedBytes {
		w.suppress()
		return false
	}
	w.queuedBytes += length
	return true
}

// undoAdmit counts an admitted line as suppressed, since the queue had no place for it.
func (w *Writer) undoAdmit(length int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queuedBytes -= length
	w.suppress()
}

// suppress counts a line that is not written. The caller must hold the mutex.
func (w *Writer) suppress() {
	w.suppressed++
	w.totalSuppressed++
}

// release no longer counts a line of the given length as queued.
func (w *Writer) release(length int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queuedBytes -= length
}

// Suppressed returns the number of lines that were not written.
func (w *Writer) Suppressed() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.totalSuppressed
}

// Close writes the queued lines, if the output accepts them within the timeout, and ends the writer.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.output(line)
			w.release(len(line))
		case <-ticker.C:
			w.summarize()
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.output(line)
			w.release(len(line))
		default:
			w.summarize()
			return
		}
	}
}

func (w *Writer) summarize() {
	w.mutex.Lock()
	count := w.suppressed
	w.suppressed = 0
	w.mutex.Unlock()
	if count > 0 {
		w.output([]byte(w.options.Summary(w.options.Now(), count) + "\n"))
	}
}

// output writes a line to the output. An error is ignored, since there is no other place to report it.
func (w *Writer) output(line []byte) {
	_, _ = w.options.Output.Write(line)
}
