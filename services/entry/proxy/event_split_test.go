// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// splitSeeds is the number of random streams.
const splitSeeds = 20_000

var lineEndPattern = regexp.MustCompile(`\r\n|\r|\n`)

// splitStream is what a stream consists of, found by reading it as a whole.
type splitStream struct {
	// boundary is the length of the complete events, lastID the last id in them.
	boundary int
	lastID   string
	// insideEvent is set if the rest begins an event or ends inside a line.
	insideEvent bool
}

func splitWhole(text string) splitStream {
	var s splitStream
	start, pendingID := 0, ""
	for _, end := range lineEndPattern.FindAllStringIndex(text, -1) {
		line := text[start:end[0]]
		start = end[1]
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			pendingID = strings.TrimSpace(id)
		}
		if line == "" {
			s.insideEvent, s.boundary, s.lastID = false, end[1], pendingID
		} else if line[0] != ':' {
			s.insideEvent = true
		}
	}
	s.insideEvent = s.insideEvent || start < len(text)
	return s
}

// randomStream returns the beginning of a stream with lines of all kinds, cut off anywhere.
func randomStream(random *rand.Rand) string {
	pieces := []string{"id:1", "id: 2", "id: 33", "data: x", "data", ":", ": c", ":id: 9", "x: :", "version: 4", "", "", ""}
	ends := []string{"\n", "\r\n", "\r"}
	if random.IntN(2) == 0 {
		ends = ends[random.IntN(len(ends)):][:1]
	}
	var text strings.Builder
	for range 1 + random.IntN(14) {
		text.WriteString(pieces[random.IntN(len(pieces))])
		text.WriteString(ends[random.IntN(len(ends))])
	}
	return text.String()[:random.IntN(text.Len()+1)]
}

// TestEventsDoNotDependOnReads guards against bytes that are lost, doubled or held back, and ends that are misjudged, because of where the reads
// of a stream end.
func TestEventsDoNotDependOnReads(t *testing.T) {
	for seed := range uint64(splitSeeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		text, wholeOnly := randomStream(random), seed%2 == 0
		buffer, forwarded := proxy.NewEventBuffer(wholeOnly), ""
		readStarts := make(map[int]bool)
		for position := 0; position < len(text); {
			readStarts[position] = true
			size := min(1+random.IntN(7), len(text)-position)
			forwarded += buffer.Add([]byte(text[position : position+size]))
			position += size
			checkSplit(t, seed, text[:position], forwarded, buffer)
			if wholeOnly {
				checkWholeEvents(t, seed, text[:position], forwarded, buffer, readStarts)
			} else {
				require.Len(t, forwarded, position, "seed %d", seed)
			}
		}
	}
}

func checkSplit(t *testing.T, seed uint64, text, forwarded string, buffer proxy.EventBuffer) {
	t.Helper()
	require.Equal(t, text, forwarded+buffer.Incomplete(), "seed %d", seed)
	require.Equal(t, splitWhole(text).insideEvent, buffer.InsideEvent(), "seed %d: %q", seed, text)
}

func checkWholeEvents(t *testing.T, seed uint64, text, forwarded string, buffer proxy.EventBuffer, readStarts map[int]bool) {
	t.Helper()
	want := splitWhole(text)
	require.Equal(t, want.lastID, buffer.LastID(), "seed %d: %q", seed, text)
	end := want.boundary
	if strings.HasSuffix(text[:end], "\r\n") && readStarts[end-1] {
		// The CR already ended the event, and the LF came with another read.
		end--
	}
	require.Len(t, forwarded, end, "seed %d: %q", seed, text)
}
