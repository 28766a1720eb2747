// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package asynclog

import (
	"io"
	"sync"
	"time"
)

// Options are the settings of a Writer.
type Options struct {
	Output io.Writer
	// LinesPerSecond and Burst bound the volume: so many lines a second in the long run, and so many at once.
	LinesPerSecond float64
	Burst          float64
	// Queue is how many lines may wait for a slow reader, QueueBytes how many bytes of them; 0 bytes set no bound.
	Queue      int
	QueueBytes int
	// Now gives the present time.
	Now func() time.Time
	// Summary gives the line that says how many were suppressed since the last such line.
	Summary func(now time.Time, suppressed uint64) string
}

// summaryInterval is how often suppressed lines are reported. Longer adds fewer lines, shorter reports sooner. Not measured.
const summaryInterval = time.Second

// Writer is an io.Writer whose Write never blocks.
type Writer struct {
	options    Options
	lines      chan []byte
	stop       chan struct{}
	done       chan struct{}
	mutex      sync.Mutex
	tokens     float64
	filled     time.Time
	suppressed uint64
	total      uint64
	// queued is how many bytes wait.
	queued int
}

// New starts a writer; Close ends it.
func New(options Options) *Writer {
	w := &Writer{
		options: options, lines: make(chan []byte, options.Queue), stop: make(chan struct{}), done: make(chan struct{}),
		tokens: options.Burst, filled: options.Now(),
	}
	go w.run()
	return w
}

// Write queues one line, or counts it as suppressed.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.take(len(line)) {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.giveBack(len(line))
		w.suppress()
	}
	return len(line), nil
}

// take asks for a line of so many bytes, which count until giveBack.
func (w *Writer) take(size int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.options.Now()
	w.tokens = min(w.options.Burst, w.tokens+now.Sub(w.filled).Seconds()*w.options.LinesPerSecond)
	w.filled = now
	full := w.options.QueueBytes > 0 && w.queued+size > w.options.QueueBytes
	if w.tokens < 1 || full {
		w.suppressed++
		w.total++
		return false
	}
	w.tokens--
	w.queued += size
	return true
}

// giveBack takes the bytes of a line that waits no more out of the count.
func (w *Writer) giveBack(size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queued -= size
}

func (w *Writer) suppress() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.suppressed++
	w.total++
}

// Suppressed gives the number of lines that were not written.
func (w *Writer) Suppressed() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.total
}

// Close writes what is queued, if the reader takes it within the time-out, and ends the writer.
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
			w.giveBack(len(line))
			w.output(line)
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
			w.giveBack(len(line))
			w.output(line)
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

// output writes to the log's reader. Where that fails, there is no other place to report it to.
func (w *Writer) output(line []byte) {
	_, _ = w.options.Output.Write(line)
}
