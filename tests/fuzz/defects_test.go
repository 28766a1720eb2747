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

// failureRecorder is a rapid.TB that records a failure without failing the enclosing test.
type failureRecorder struct {
	mutex  sync.Mutex
	lines  []string
	failed bool
}

func (r *failureRecorder) Helper()                    {}
func (r *failureRecorder) Name() string               { return "defect" }
func (r *failureRecorder) Logf(f string, args ...any) { r.addLine(f, args...) }
func (r *failureRecorder) Log(args ...any)            { r.addLine("%s", fmt.Sprint(args...)) }

func (r *failureRecorder) addLine(f string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(f, args...))
}

func (r *failureRecorder) Errorf(f string, args ...any) { r.addLine(f, args...); r.Fail() }
func (r *failureRecorder) Error(args ...any)            { r.Log(args...); r.Fail() }
func (r *failureRecorder) Fatalf(f string, args ...any) { r.addLine(f, args...); r.FailNow() }
func (r *failureRecorder) Fatal(args ...any)            { r.Log(args...); r.FailNow() }
func (r *failureRecorder) Skipf(f string, args ...any)  { r.addLine(f, args...); r.SkipNow() }
func (r *failureRecorder) Skip(args ...any)             { r.Log(args...); r.SkipNow() }
func (r *failureRecorder) SkipNow()                     { runtime.Goexit() }
func (r *failureRecorder) Fail()                        { r.mutex.Lock(); r.failed = true; r.mutex.Unlock() }
func (r *failureRecorder) FailNow()                     { r.Fail(); runtime.Goexit() }
func (r *failureRecorder) Failed() bool                 { return r.failed }

// seededDefect is a defect that a test-only switch enables, and the guarantee that it violates.
type seededDefect struct {
	name      string
	guarantee string
	node      node.Defects
	traffic   trafficDefects
}

var seededDefects = []seededDefect{
	{"a ticket is used for another version of its adapter", guaranteeVersion, node.Defects{}, trafficDefects{wrongAdapter: true}},
	{"unload without tickets", guaranteeInUse, node.Defects{UnloadWithoutTickets: true}, trafficDefects{}},
	{"unload before grants of former owners have ended", guaranteeInUse, node.Defects{SkipFreeze: true}, trafficDefects{}},
	{"orders after the lease has expired", guaranteeInUse, node.Defects{OrderAfterLapse: true}, trafficDefects{}},
	{"the answer of another request is delivered", guaranteeOwnAnswer, node.Defects{}, trafficDefects{wrongAnswer: true}},
	{"an attempt of unknown outcome is reported as not run", guaranteeNotRun, node.Defects{}, trafficDefects{unknownNotRun: true}},
	{"a once-request is tried again", guaranteeOnce, node.Defects{}, trafficDefects{retryOnce: true}},
	{"leaving endpoints get new requests", guaranteeLeaving, node.Defects{IgnoreLeaving: true}, trafficDefects{}},
	{"a planned stop drops waiting requests", guaranteeStop, node.Defects{}, trafficDefects{dropOnStop: true}},
	{"a lower revision is accepted", guaranteeRevision, node.Defects{AcceptLowerRevision: true}, trafficDefects{}},
}

// TestOracleDetectsSeededDefects checks that the oracle can detect the violation of each guarantee: with a seeded defect, one of at most
// maxDefectHistories histories fails with the guarantee that the defect violates.
func TestOracleDetectsSeededDefects(t *testing.T) {
	for _, d := range seededDefects {
		t.Run(d.name, func(t *testing.T) {
			setRapidFlags(t, fixedSeed, maxDefectHistories)
			r := &failureRecorder{}
			runs := 0
			prop := historyProperty(d.node, d.traffic, make(map[string]int))
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(r, func(t *rapid.T) {
					if !r.Failed() {
						runs++
					}
					prop(t)
				})
			}()
			<-done
			text := strings.Join(r.lines, "\n")
			require.True(t, r.Failed(), "the defect was not found in %s histories", maxDefectHistories)
			require.Contains(t, text, d.guarantee+":")
			at := strings.Index(text, "failed after")
			t.Logf("%s", text[at:at+min(len(text)-at, 30)])
		})
	}
}

// maxDefectHistories is the number of histories in which a seeded defect must be detected.
const maxDefectHistories = "400"
