// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tests/standin"
)

// tally sums up what the callers of a test were told.
type tally struct {
	mutex    sync.Mutex
	answered int
	unknown  int
	notRun   int
	dropped  int
	wrong    []string
}

func (y *tally) add(c call, a answer) {
	y.mutex.Lock()
	defer y.mutex.Unlock()
	switch {
	case a.done && a.text == expected(c.id, c.tokens) && (c.model == a.model || a.model == ""):
		y.answered++
	case a.done:
		y.wrong = append(y.wrong, fmt.Sprintf("%s: %q from %s", c.id, a.text, a.model))
	case a.outcome == "not_run":
		y.notRun++
	case a.outcome == "unknown":
		y.unknown++
	default:
		y.dropped++
	}
}

func oneHall() standin.ClusterOptions {
	o := standin.DefaultClusterOptions()
	o.Halls = []string{"h1"}
	return o
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	f := newFleet(t, oneHall(), map[string]any{"limits": map[string]any{"leave_notice": "50ms"}}, "h1-i1", "h1-i2", "h1-i3")
	f.createAdapters("h1-i1", 10)
	var y tally
	var group sync.WaitGroup
	send := func(instance string, from, count int) {
		for i := range count {
			group.Add(1)
			go func() {
				defer group.Done()
				c := call{id: fmt.Sprintf("s-%d", from+i), model: fmt.Sprintf("a-%d@1", i%10), class: "traveller", caller: "test", tokens: 60}
				y.add(c, f.send(context.Background(), instance, c))
			}()
		}
	}
	for round, leaving := range []string{"h1-i1", "h1-i2"} {
		send(leaving, round*100, 20)
		send("h1-i3", round*100+50, 10)
		time.Sleep(100 * time.Millisecond)
		f.daemons[leaving].Stop()
		delete(f.daemons, leaving)
	}
	group.Wait()
	require.Empty(t, y.wrong)
	require.Zero(t, y.unknown)
	require.Zero(t, y.dropped)
	require.Equal(t, 60, y.answered+y.notRun)
	require.GreaterOrEqual(t, y.answered, 55)
	require.Empty(t, f.cluster.Violations())
}

func TestLostInstanceIsTakenOver(t *testing.T) {
	f := newFleet(t, oneHall(), nil, "h1-i1", "h1-i2", "h1-i3")
	f.createAdapters("h1-i1", 20)
	var y tally
	var group sync.WaitGroup
	for i := range 90 {
		group.Add(1)
		go func() {
			defer group.Done()
			c := call{id: fmt.Sprintf("k-%d", i), model: fmt.Sprintf("a-%d@2", i%20), class: "traveller", caller: "test", tokens: 40}
			y.add(c, f.send(context.Background(), []string{"h1-i1", "h1-i2", "h1-i3"}[i%3], c))
		}()
	}
	time.Sleep(300 * time.Millisecond)
	f.kill("h1-i2")
	group.Wait()
	require.Empty(t, y.wrong)
	// Only what ran through the lost instance itself may be lost.
	require.LessOrEqual(t, y.dropped, 30)
	require.GreaterOrEqual(t, y.answered, 60)
	require.Empty(t, f.cluster.Violations())
	for id, d := range f.daemons {
		f.eventually(d.Ready, "instance %s has pools without a placer", id)
	}
}

func TestEngineRestartsEmpty(t *testing.T) {
	f := newFleet(t, standin.DefaultClusterOptions(), nil, "h1-i1", "h2-i1")
	f.createAdapters("h1-i1", 8)
	var y tally
	var group sync.WaitGroup
	for i := range 60 {
		group.Add(1)
		go func() {
			defer group.Done()
			c := call{id: fmt.Sprintf("e-%d", i), model: fmt.Sprintf("a-%d@1", i%8), class: "kiosk", caller: "test", tokens: 30}
			y.add(c, f.send(context.Background(), []string{"h1-i1", "h2-i1"}[i%2], c))
		}()
	}
	time.Sleep(200 * time.Millisecond)
	f.cluster.Engine("h1-e1").Restart()
	group.Wait()
	require.Empty(t, y.wrong)
	require.Zero(t, y.dropped)
	require.Equal(t, 60, y.answered+y.unknown+y.notRun)
	require.Empty(t, f.cluster.Violations())
}

func TestOnceRunsOnceAcrossInstances(t *testing.T) {
	f := newFleet(t, standin.DefaultClusterOptions(), nil, "h1-i1", "h1-i2", "h2-i1")
	f.createAdapters("h1-i1", 4)
	instances := []string{"h1-i1", "h1-i2", "h2-i1"}
	var answered, told int
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range 30 {
		for _, instance := range instances {
			group.Add(1)
			go func() {
				defer group.Done()
				c := call{id: fmt.Sprintf("o-%d", i), model: fmt.Sprintf("a-%d@1", i%4), class: "kiosk", caller: "test", tokens: 4, once: true}
				a := f.send(context.Background(), instance, c)
				mutex.Lock()
				defer mutex.Unlock()
				if a.done {
					answered++
					return
				}
				require.Equal(t, "unknown", a.outcome, a.failure)
				told++
			}()
		}
	}
	group.Wait()
	require.Equal(t, 30, answered)
	require.Equal(t, 60, told)
	for id, n := range f.cluster.Runs() {
		require.Equal(t, 1, n, id)
	}
}

func TestKVOutageLeavesTrafficAlone(t *testing.T) {
	o := standin.DefaultClusterOptions()
	o.UnfencedEvery = 2
	f := newFleet(t, o, nil, "h1-i1", "h1-i2", "h2-i1")
	f.createAdapters("h1-i1", 6)
	warm := func(prefix string) {
		for i := range 6 {
			c := call{id: fmt.Sprintf("%s-%d", prefix, i), model: fmt.Sprintf("a-%d@1", i), class: "kiosk", caller: "test", tokens: 3}
			a := f.send(context.Background(), "h1-i2", c)
			require.True(t, a.done, "%+v", a)
		}
	}
	warm("before")
	f.cluster.KV.SetFaults(standin.KVFaults{Down: true})
	warm("during")
	c := call{id: "once", model: "a-1@1", class: "kiosk", caller: "test", tokens: 3, once: true}
	a := f.send(context.Background(), "h1-i2", c)
	require.Equal(t, "not_run", a.outcome)
	require.Equal(t, "claim_impossible", a.failure)
	out := f.run("h1-i1", "create adapter late base base-a")
	require.NotNil(t, out.Error)
	f.cluster.KV.SetFaults(standin.KVFaults{})
	f.eventually(func() bool { return f.run("h1-i1", "create adapter late base base-a").Error == nil }, "no change is accepted after the outage")
	require.Empty(t, f.cluster.Violations())
}

func TestLostAnswerIsSettledByReading(t *testing.T) {
	f := newFleet(t, standin.DefaultClusterOptions(), nil, "h1-i1", "h2-i1")
	f.cluster.KV.SetFaults(standin.KVFaults{LoseAnswers: 2})
	out := f.run("h1-i1", "create adapter x base base-a version 1")
	require.Nil(t, out.Error)
	require.EqualValues(t, 1, out.Answers[0].Change.Revision)
	out = f.run("h2-i1", "show adapters where name = x")
	require.Len(t, out.Answers[0].Table.Rows, 1)
}
