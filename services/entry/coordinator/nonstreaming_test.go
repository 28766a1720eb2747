// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// TestNonStreamingRequestIsNotSentToFormerVersion covers a request whose answer is sent as a whole. Its begin is not
// visible, so it is never recalled, and nothing prevents it from beginning after the former version's time.
func TestNonStreamingRequestIsNotSentToFormerVersion(t *testing.T) {
	f := newFixture()
	f.start(t)
	begun := f.assignRequest(t)
	f.instance.MarkRunning(begun.Request, begun.assignment)
	f.instance.Finish(begun.Request, begun.assignment, directory.Succeeded, false)
	f.nameVersion("2")
	f.waitForVersionLog(t, "a1")
	now := time.Now()
	request := &deployment.Request{
		Route: &deployment.Route{Name: "whole", Kind: deployment.Safe, TargetLatency: time.Second}, Service: service, Adapter: adapter("a1"),
		Arrived: now, Deadline: now.Add(waitLimit),
	}
	ctx, cancel := context.WithTimeout(context.Background(), versionLimit/4)
	defer cancel()
	assignment, err := f.instance.Acquire(ctx, request, nil)
	assert.Error(t, err, "the request was assigned to an endpoint that holds version %d", assignment.HeldVersion)
}
