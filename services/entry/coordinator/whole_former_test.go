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

// TestAnAnswerThatComesWholeIsNotAskedOfAFormerVersion: its begin does not show, so that it is never taken back, and nothing keeps it
// from beginning after the former version's time.
func TestAnAnswerThatComesWholeIsNotAskedOfAFormerVersion(t *testing.T) {
	s := newSite()
	s.start(t)
	one := s.sendSoon(t)
	s.control.Running(one.Request, one.assignment)
	s.control.Finish(one.Request, one.assignment, directory.Succeeded, false)
	s.name("2")
	s.namedLine(t, "a1")
	now := time.Now()
	request := &deployment.Request{
		Route: &deployment.Route{Name: "whole", Kind: deployment.Safe, TargetLatency: time.Second}, Service: service, Adapter: adapter("a1"),
		Arrived: now, Deadline: now.Add(waitLimit),
	}
	ctx, cancel := context.WithTimeout(context.Background(), versionLimit/4)
	defer cancel()
	assignment, err := s.control.Acquire(ctx, request, nil)
	assert.Error(t, err, "it goes to an endpoint that holds version %d", assignment.Held)
}
