// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

// EndCause is what ended an attempt without a complete response, as the log line "request" names it.
type EndCause string

// The causes for the end of an attempt.
const (
	// EndedByEndpoint means that the endpoint ended the attempt, or that the connection to it failed.
	EndedByEndpoint EndCause = "endpoint"
	// EndedByCaller means that the caller closed its connection, or accepts no more of the response.
	EndedByCaller EndCause = "caller"
	// EndedByDeadline means that the request's deadline passed.
	EndedByDeadline EndCause = "deadline"
	// EndedByShutdown means that the shutdown of the process aborted the attempt.
	EndedByShutdown EndCause = "process"
	// EndedBySuccessor means that this instance gave up the attempt in favor of another endpoint that has started to respond.
	EndedBySuccessor EndCause = "successor"
	// EndedByFormerEndpoint means that this instance gave up the attempt because the endpoint that was sent the request before continued.
	EndedByFormerEndpoint EndCause = "former endpoint"
	// EndedByRecall means that this instance recalled the request because it had not started to run in time.
	EndedByRecall EndCause = "take back"
	// EndedByBodyLimit means that the request's body turned out to be too large.
	EndedByBodyLimit EndCause = "body"
	// EndedByConnectionLimit means that nothing was sent, since this instance has as many connections to the endpoint as it may have.
	EndedByConnectionLimit EndCause = "connection limit"
	// EndedByDescriptorLimit means that nothing was sent, since this process or its host has no free descriptor.
	EndedByDescriptorLimit EndCause = "descriptors"
	// EndedByAnswerSize and EndedByAnswerTime mean that the endpoint sent bytes in place of an answer, too many or for too long, so that this
	// instance closed the connection.
	EndedByAnswerSize EndCause = "answer too long"
	EndedByAnswerTime EndCause = "answer too slow"
)
