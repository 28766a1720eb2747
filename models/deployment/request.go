// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import "time"

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request holds the facts of one caller's attempt that decisions need.
type Request struct {
	ID      string
	Route   *Route
	Service string
	// Model is empty for plain services.
	Adapter Adapter
	Prompt  []PromptPart
	// PromptTokens and MaxTokens are the prompt's size and the most it may generate.
	PromptTokens int
	MaxTokens    int
	Arrived      time.Time
	// Deadline is the earlier of the caller's own deadline and the route's timeout.
	Deadline time.Time
}

// UsesModel tells whether the request runs on a base model.
func (r *Request) UsesModel() bool {
	return r.Adapter.Model != ""
}
