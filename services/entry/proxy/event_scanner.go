// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

// eventScanner finds the boundaries of the events of a stream. An event ends with an empty line, and a line with LF, CR or CR LF; a line that
// starts with a colon is a comment, which belongs to no event. The zero value is at the start of a stream.
type eventScanner struct {
	line lineContent
	// eventOpen is set if a line of the current event has ended.
	eventOpen bool
	// hasEvent is set once an event has ended.
	hasEvent bool
	// afterCR is set if the last byte was a CR, so that an LF belongs to the same line end.
	afterCR bool
}

// lineContent is what the current line consists of so far.
type lineContent int

// The contents of a line.
const (
	lineEmpty lineContent = iota
	lineComment
	lineField
)

// scan reads further bytes and returns up to which of them the stream consists of complete events; 0 if none of them ends an event.
func (s *eventScanner) scan(content []byte) int {
	end := 0
	for i, char := range content {
		switch {
		case char == '\n' && s.afterCR:
			s.afterCR = false
			if end == i && i > 0 {
				end++
			}
			continue
		case isLineEnd(rune(char)):
			if s.line == lineEmpty {
				end = i + 1
			}
			s.endLine()
		case s.line == lineEmpty && char == ':':
			s.line = lineComment
		case s.line == lineEmpty:
			s.line = lineField
		}
		s.afterCR = char == '\r'
	}
	return end
}

func (s *eventScanner) endLine() {
	switch s.line {
	case lineEmpty:
		s.hasEvent = s.hasEvent || s.eventOpen
		s.eventOpen = false
	case lineField:
		s.eventOpen = true
	case lineComment:
	}
	s.line = lineEmpty
}

// insideEvent reports whether the bytes so far end inside an event or inside a line.
func (s *eventScanner) insideEvent() bool {
	return s.eventOpen || s.line != lineEmpty
}

func isLineEnd(char rune) bool {
	return char == '\n' || char == '\r'
}
