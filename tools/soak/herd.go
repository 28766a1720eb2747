// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// herdPause is the time from the kill of several instances to their next starts.
const herdPause = time.Second

// announcedLeave is the Count of a step in which endpoints leave with an announcement.
const announcedLeave = 1

// killHerd kills several instances at the same moment and records the disruption.
func (s *site) killHerd(targets []int) {
	from := time.Now()
	for _, target := range targets {
		s.instances[target].killFor(herdPause)
	}
	s.recorder.addDisruption(ledger.HerdKill, "", from, time.Now())
}

// retireSoftware replaces the endpoints of the oldest software version, at most half of those that serve a model, by ones of the next
// version.
func (s *site) retireSoftware(way int) error {
	leave := func(one *endpointProcess) error { return one.Vanish() }
	if way == announcedLeave {
		leave = func(one *endpointProcess) error { return one.Drain() }
	}
	var failed []error
	var mutex sync.Mutex
	var leaving sync.WaitGroup
	for _, e := range s.oldestEndpoints() {
		leaving.Go(func() {
			err := e.release(leave)
			mutex.Lock()
			defer mutex.Unlock()
			failed = append(failed, err)
		})
	}
	leaving.Wait()
	return errors.Join(failed...)
}

// oldestEndpoints returns the endpoints of the oldest software version, at most half of those that serve a model.
func (s *site) oldestEndpoints() []*endpoint {
	var serving []*endpoint
	for _, e := range s.endpoints {
		if !e.servesPlain() {
			serving = append(serving, e)
		}
	}
	slices.SortStableFunc(serving, func(a, b *endpoint) int { return cmp.Compare(a.generation(), b.generation()) })
	oldest := serving[0].generation()
	half := serving[:(len(serving)+1)/2]
	return slices.DeleteFunc(half, func(e *endpoint) bool { return e.generation() != oldest })
}
