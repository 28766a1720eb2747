// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

const (
	// answerSlots is how many requests a table remembers as answered, each in some 40 bytes. A request that is repeated often is
	// remembered again before another one takes its slot.
	answerSlots = 4096
	// answerRetention is how long before a crash a complete response speaks for the request.
	answerRetention = 10 * time.Minute
)

// answers remembers when requests last got a complete response. A later request may take the slot of an earlier one.
type answers struct {
	slots []answer
}

// answer is the last complete response to a request.
type answer struct {
	request fingerprint.Fingerprint
	at      time.Time
}

func newAnswers() answers {
	return answers{slots: make([]answer, answerSlots)}
}

// slot returns the slot of a request. The bytes of a fingerprint are evenly distributed.
func (a answers) slot(request fingerprint.Fingerprint) *answer {
	return &a.slots[binary.BigEndian.Uint16(request[:])%answerSlots]
}

// record records a complete response.
func (a answers) record(now time.Time, request fingerprint.Fingerprint) {
	*a.slot(request) = answer{request: request, at: now}
}

// last returns when a request last got a complete response; zero if that is not remembered.
func (a answers) last(request fingerprint.Fingerprint) time.Time {
	if slot := a.slot(request); slot.request == request {
		return slot.at
	}
	return time.Time{}
}
