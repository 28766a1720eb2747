//go:build review

package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	start  time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, writer: bufio.NewWriter(file), start: time.Now()}, nil
}

// Linef writes a line with the time since the start.
func (r *Record) Linef(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Sayf writes a line and prints it as well.
func (r *Record) Sayf(format string, values ...any) {
	r.Linef(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
