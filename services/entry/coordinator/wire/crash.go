// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// Crash reports that an endpoint ended while it had a request. Earlier versions send it without an endpoint when they retry a request
// that was quarantined. It is encoded without field names.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Request  fingerprint.Fingerprint
	Endpoint deployment.EndpointID
	// Age is the time since the crash became known. Answered reports that the request has been answered completely since.
	Age      time.Duration
	Answered bool
}

// CrashDetails supplements the crashes of the same message.
type CrashDetails struct {
	// AnsweredBefore are those of the crashes shortly before which the request had been answered completely.
	AnsweredBefore []CrashID `msgpack:"b,omitempty"`
	// Claims are claims of trials of suspected requests.
	Claims []TrialClaim `msgpack:"c,omitempty"`
}

// CrashID identifies a crash. It is encoded without field names.
type CrashID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Request  fingerprint.Fingerprint
	Endpoint deployment.EndpointID
}

// TrialClaim reports that an instance is about to send a suspected request as a trial, unless another instance has a claim with a
// lower ticket. It is encoded without field names.
type TrialClaim struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Request fingerprint.Fingerprint
	Ticket  uint64
	// Age is the time since the claim was made.
	Age time.Duration
}
