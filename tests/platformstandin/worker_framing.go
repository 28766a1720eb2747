// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"io"
	"math/rand/v2"
	"net/http"
)

// cutKind is how a worker breaks an answer off.
type cutKind int

const (
	noCut cutKind = iota
	// closingCut closes the connection, resettingCut resets it.
	closingCut
	resettingCut
)

// framing is how a worker sends one answer.
type framing struct {
	// untilClose makes the answer end with its connection, with neither a length nor chunks.
	untilClose bool
	cut        cutKind
}

// drawFraming draws the framing of an answer from the shares in the worker's options. A fault of the worker precedes them.
// The caller holds the mutex.
func (w *Worker) drawFraming() framing {
	if rand.Float64() >= w.options.UntilClose {
		return framing{untilClose: w.faults.UntilClose}
	}
	drawn := framing{untilClose: true}
	if rand.Float64() < w.options.CutOff {
		drawn.cut = closingCut + cutKind(rand.IntN(2))
	}
	return drawn
}

// set prepares the head of an answer for the framing.
func (f framing) set(writer http.ResponseWriter) {
	if f.untilClose {
		// On this value, net/http writes neither a length nor chunks, and closes the connection after the answer.
		writer.Header().Set("Transfer-Encoding", "identity")
	}
}

// cutPlain writes the first half of a plain answer and resets the connection. A close would make the half a whole answer.
func cutPlain(writer http.ResponseWriter, text string) {
	_, _ = io.WriteString(writer, text[:len(text)/2])
	_ = http.NewResponseController(writer).Flush()
	breakConnection(writer, resettingCut)
}

// breakConnection ends the connection of an answer and panics, so that net/http sends nothing further.
func breakConnection(writer http.ResponseWriter, how cutKind) {
	if how == resettingCut {
		if conn, _, err := writer.(http.Hijacker).Hijack(); err == nil {
			resetConnection(conn)
		}
	}
	panic(http.ErrAbortHandler)
}
