// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package asynclog_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/asynclog"
)

func summary(_ time.Time, suppressed uint64) string {
	return fmt.Sprintf("suppressed %d", suppressed)
}

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
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

func TestAReaderThatStandsStillBlocksNobody(t *testing.T) {
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
