// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

// silence decides when a hedge may search for another endpoint: only while its endpoint is silent, one search at a time. A timer that has
// fired, or a search that was canceled, may take its turn only after the silence has ended. It is not safe for concurrent use.
type silence struct {
	// ended is set while the endpoint's data is handled, closed once no further search may start.
	ended, closed bool
	// searching is set during a search. missed is set if the timer fired meanwhile: the search was one for an earlier silence.
	searching, missed bool
}

// end records that the endpoint has sent data.
func (s *silence) end() {
	s.ended, s.missed = true, false
}

// begin records that the endpoint's next data is awaited.
func (s *silence) begin() {
	s.ended = false
}

// close prevents further searches.
func (s *silence) close() {
	s.closed = true
}

// maySearch reports whether a search may begin now or later in this silence.
func (s *silence) maySearch() bool {
	return !s.ended && !s.closed
}

// beginSearch reports whether a search begins now that the timer has fired.
func (s *silence) beginSearch() bool {
	if !s.maySearch() {
		return false
	}
	if s.searching {
		s.missed = true
		return false
	}
	s.searching = true
	return true
}

// endSearch records the end of a search and reports whether another one is due, since the timer fired for a later silence meanwhile.
func (s *silence) endSearch() bool {
	due := s.missed && s.maySearch()
	s.searching, s.missed = false, false
	return due
}
