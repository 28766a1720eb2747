// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// recorder takes a failure without failing the test around it.
type recorder struct {
	mutex  sync.Mutex
	lines  []string
	failed bool
}

func (r *recorder) Helper()                    {}
func (r *recorder) Name() string               { return "defect" }
func (r *recorder) Logf(f string, args ...any) { r.note(f, args...) }
func (r *recorder) Log(args ...any)            { r.note("%s", fmt.Sprint(args...)) }

func (r *recorder) note(f string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(f, args...))
}

func (r *recorder) Errorf(f string, args ...any) { r.note(f, args...); r.Fail() }
func (r *recorder) Error(args ...any)            { r.Log(args...); r.Fail() }
func (r *recorder) Fatalf(f string, args ...any) { r.note(f, args...); r.FailNow() }
func (r *recorder) Fatal(args ...any)            { r.Log(args...); r.FailNow() }
func (r *recorder) Skipf(f string, args ...any)  { r.note(f, args...); r.SkipNow() }
func (r *recorder) Skip(args ...any)             { r.Log(args...); r.SkipNow() }
func (r *recorder) SkipNow()                     { runtime.Goexit() }
func (r *recorder) Fail()                        { r.mutex.Lock(); r.failed = true; r.mutex.Unlock() }
func (r *recorder) FailNow()                     { r.Fail(); runtime.Goexit() }
func (r *recorder) Failed() bool                 { return r.failed }

// defect is a seeded fault and the promise that it breaks.
type defect struct {
	name    string
	promise string
	node    node.Defects
	traffic trafficDefects
}

var defects = []defect{
	{"the ticket of another adapter is used", promiseVersion, node.Defects{}, trafficDefects{wrongAdapter: true}},
	{"unload without tickets", promiseInUse, node.Defects{UnloadWithoutTickets: true}, trafficDefects{}},
	{"unload before former grants have ended", promiseInUse, node.Defects{SkipFreeze: true}, trafficDefects{}},
	{"orders after the lease has lapsed", promiseInUse, node.Defects{OrderAfterLapse: true}, trafficDefects{}},
	{"another's answer is passed on", promiseOwn, node.Defects{}, trafficDefects{wrongAnswer: true}},
	{"a broken attempt is told as not run", promiseNotRun, node.Defects{}, trafficDefects{unknownNotRun: true}},
	{"a once-request is tried again", promiseOnce, node.Defects{}, trafficDefects{retryOnce: true}},
	{"leaving endpoints get new work", promiseLeaving, node.Defects{IgnoreLeaving: true}, trafficDefects{}},
	{"a planned stop drops what waits", promiseStop, node.Defects{}, trafficDefects{dropOnStop: true}},
	{"a lower revision is accepted", promiseRevision, node.Defects{AcceptLowerRevision: true}, trafficDefects{}},
}

// TestOracleBites shows that each promise's check can fail: a seeded defect breaks it
// within the run that finds none without it.
func TestOracleBites(t *testing.T) {
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			setFlags(t, fixedSeed, biteChecks)
			r := &recorder{}
			runs := 0
			inner := property(d.node, d.traffic, make(map[string]int))
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(r, func(t *rapid.T) {
					if !r.Failed() {
						runs++
					}
					inner(t)
				})
			}()
			<-done
			text := strings.Join(r.lines, "\n")
			require.True(t, r.Failed(), "the defect was not found in %s histories", biteChecks)
			require.Contains(t, text, d.promise+":")
			at := strings.Index(text, "failed after")
			t.Logf("%s", text[at:at+min(len(text)-at, 30)])
		})
	}
}

const biteChecks = "400"
