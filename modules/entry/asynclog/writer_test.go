// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package asynclog_test

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/asynclog"
)

func summary(_ time.Time, suppressed uint64) string {
	return fmt.Sprintf("suppressed %d", suppressed)
}

func TestLinesAboveRateAreSuppressed(t *testing.T) {
	var output bytes.Buffer
	now := time.Now()
	writer := asynclog.New(asynclog.Options{
		Output: &output, LinesPerSecond: 10, Burst: 5, Queue: 100, Summary: summary, Now: func() time.Time { return now },
	})
	for range 20 {
		_, _ = writer.Write([]byte("line\n"))
	}
	writer.Close(time.Second)
	assert.Equal(t, 5, strings.Count(output.String(), "line"))
	assert.Contains(t, output.String(), "suppressed 15")
	assert.Equal(t, uint64(15), writer.Suppressed())
}

func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	reader, output := io.Pipe()
	defer func() { _ = reader.Close() }()
	writer := asynclog.New(asynclog.Options{Output: output, LinesPerSecond: 1e6, Burst: 1e6, Queue: 10, Summary: summary, Now: time.Now})
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 1000 {
			_, _ = writer.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	assert.GreaterOrEqual(t, writer.Suppressed(), uint64(980))
	writer.Close(10 * time.Millisecond)
}

// TestQueueIsBoundedInBytes writes lines of 64 KiB to a stalled output, far fewer than the queue holds by their number.
func TestQueueIsBoundedInBytes(t *testing.T) {
	const length, count, bound = 64 << 10, 500, 512 << 10
	reader, output := io.Pipe()
	writer := asynclog.New(asynclog.Options{Output: output, LinesPerSecond: 1e6, Burst: 1e6, Queue: 512, Summary: summary, Now: time.Now})
	line := append(bytes.Repeat([]byte("x"), length-1), '\n')
	for range count {
		_, _ = writer.Write(line)
	}
	kept := (count - int(writer.Suppressed())) * length
	assert.Equal(t, bound, kept, "queued bytes")

	var read bytes.Buffer
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(&read, reader)
	}()
	assert.Eventually(t, func() bool {
		before := writer.Suppressed()
		_, _ = writer.Write([]byte("short\n"))
		return writer.Suppressed() == before
	}, 10*time.Second, time.Millisecond, "written lines make room in the queue")
	writer.Close(10 * time.Second)
	_ = output.Close()
	<-done
	assert.Equal(t, bound, strings.Count(read.String(), "x")+bound/length, "each queued line is complete")
	var reported uint64
	for _, found := range regexp.MustCompile(`suppressed (\d+)`).FindAllStringSubmatch(read.String(), -1) {
		parsed, err := strconv.ParseUint(found[1], 10, 64)
		assert.NoError(t, err)
		reported += parsed
	}
	assert.Equal(t, writer.Suppressed(), reported, "each suppressed line is reported once")
}

func TestLineLongerThanQueueIsSuppressed(t *testing.T) {
	var output bytes.Buffer
	writer := asynclog.New(asynclog.Options{Output: &output, LinesPerSecond: 1e6, Burst: 1e6, Queue: 512, Summary: summary, Now: time.Now})
	_, _ = writer.Write(make([]byte, 512<<10+1))
	_, _ = writer.Write([]byte("line\n"))
	writer.Close(time.Second)
	assert.Equal(t, uint64(1), writer.Suppressed())
	assert.Equal(t, len("line\nsuppressed 1\n"), output.Len())
	assert.True(t, strings.HasSuffix(output.String(), "line\nsuppressed 1\n"))
}
