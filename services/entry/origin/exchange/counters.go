// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

// Counters counts what a Service has sent and received.
type Counters struct {
	// Told are the datagrams with origins that were sent, ToldRecords the origins in them.
	Told        uint64
	ToldRecords uint64
	// SentBytes are the bytes of all datagrams that were sent, without the headers of the network.
	SentBytes uint64
	// Asked are the questions that were sent, Answered the answers.
	Asked    uint64
	Answered uint64
	// Archived are the streams that were written to the archive. ArchiveWrites, ArchiveReads and ArchiveErrors are the writes and readings of it,
	// and those of them that failed.
	Archived      uint64
	ArchiveWrites uint64
	ArchiveReads  uint64
	ArchiveErrors uint64
	// SendErrors are datagrams that the system did not take.
	SendErrors uint64
	// Oversized are messages that fit into no datagram.
	Oversized uint64
	// Dropped are streams of which nobody was told, since too many waited.
	Dropped uint64
	// Malformed are datagrams that could not be read, UnknownVersion those of another version of the protocol.
	Malformed      uint64
	UnknownVersion uint64
	// UnexpectedAnswers came late, twice, or from an instance that was not asked.
	UnexpectedAnswers uint64
}

// Counters returns what has been counted so far.
func (s *Service) Counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counters
}
