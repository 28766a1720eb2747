// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// takenUpEvents is the number of events of a stream that its caller takes up, and eventsPerTry how many the caller reads before it does.
	takenUpEvents = 12
	eventsPerTry  = 3
	// takenUpPause is the time between two events.
	takenUpPause = 100 * time.Millisecond
	// takenUpStreams is the number of streams of a case, and newStreams how many begin while they are taken up.
	takenUpStreams = 16
	newStreams     = 12
	// triesPerTakeUp is how often a caller tries to take up a stream that is refused.
	triesPerTakeUp = 4
)

// takenUpStream is a stream that its caller takes up after its connection broke.
type takenUpStream struct {
	adapter string
	// first is the ID of the try that brought the first event.
	first  string
	makers []standin.Maker
	// refused are the IDs of the tries that were answered with 503.
	refused []string
	open    *standin.OpenStream
}

// read begins the stream or takes it up at an instance, and reads some events. It reports whether they came.
func (u *takenUpStream) read(s *site, entry int, resumes string, events int) bool {
	c := signedStream(entry, takenUpEvents, takenUpPause, u.adapter)
	if len(u.makers) > 0 {
		c.header["Last-Event-Id"] = strconv.Itoa(len(u.makers))
	}
	if resumes != "" {
		c.header["Resumes"] = resumes
	}
	for range triesPerTakeUp {
		open, err := s.open(c)
		if err != nil {
			return false
		}
		u.open = open
		if open.Status == http.StatusOK {
			return u.readEvents(events)
		}
		open.Close()
		if open.Status != http.StatusServiceUnavailable {
			return false
		}
		u.refused = append(u.refused, open.ID)
		time.Sleep(retryAfter(open.Header))
	}
	return false
}

// readEvents reads some events of the open answer.
func (u *takenUpStream) readEvents(events int) bool {
	u.open.CloseAfter(takenUpEvents*takenUpPause + 5*time.Second)
	text, err := u.open.ReadEvents(events)
	makers := standin.Makers(text)
	if len(u.makers) == 0 {
		u.first = u.open.ID
	}
	u.makers = append(u.makers, makers...)
	return err == nil && len(makers) == events
}

// retryAfter returns the time after which a refused caller tries again, at most a second.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Second, time.Duration(seconds*float64(time.Second)))
}

// open sends a call and returns its answer to be read event by event.
func (s *site) open(c call) (*standin.OpenStream, error) {
	request := standin.Call{Method: c.method, Path: c.path, Adapter: c.adapter, Body: c.body, Header: c.header, From: c.from}
	return request.Open(context.Background(), fmt.Sprintf("%s:%d", s.ips[c.entry], s.ports.Callers))
}

// beginStreams begins streams at an instance, each second one with an adapter, and reads the first events of each.
func (s *site) beginStreams(entry int) []*takenUpStream {
	s.t.Helper()
	streams := make([]*takenUpStream, takenUpStreams)
	for i := range streams {
		streams[i] = &takenUpStream{}
		if i%2 == 1 {
			streams[i].adapter = fmt.Sprintf("a%d", i%adaptersBeforeCut)
		}
	}
	var callers sync.WaitGroup
	for _, stream := range streams {
		callers.Go(func() { assert.True(s.t, stream.read(s, entry, "", eventsPerTry), "a stream begins") })
	}
	callers.Wait()
	return streams
}

// takeUp closes the connection of each stream and takes it up at one of the instances. It returns how many streams went on.
func (s *site) takeUp(streams []*takenUpStream, entries []int, events int, resumes func(*takenUpStream) string) int {
	var callers sync.WaitGroup
	var mutex sync.Mutex
	continued := 0
	for i, stream := range streams {
		callers.Go(func() {
			stream.open.Close()
			ok := stream.read(s, entries[i%len(entries)], resumes(stream), events)
			mutex.Lock()
			defer mutex.Unlock()
			if ok {
				continued++
			}
		})
	}
	callers.Wait()
	return continued
}

// namingFirst returns the value of Resumes of callers that name the try that brought the first event.
func namingFirst(stream *takenUpStream) string {
	return stream.first
}

// beginOthers begins new streams at the instances and returns how many of them began.
func (s *site) beginOthers(entries []int) int {
	var callers sync.WaitGroup
	var mutex sync.Mutex
	began := 0
	for i := range newStreams {
		callers.Go(func() {
			answer := s.do(signedStream(entries[i%len(entries)], eventsPerTry, takenUpPause, ""))
			mutex.Lock()
			defer mutex.Unlock()
			if answer.Err == nil && answer.Status == http.StatusOK {
				began++
			}
		})
	}
	callers.Wait()
	return began
}

// assertOneSoftware checks that no stream has the events of two software versions, that none has an event twice or lacks one, and that no
// refused try ran.
func (s *site) assertOneSoftware(streams []*takenUpStream) {
	s.t.Helper()
	mixed := 0
	runs := standin.RunCounts(s.models...)
	for _, stream := range streams {
		if len(softwareOf(stream.makers)) > 1 {
			mixed++
			s.t.Logf("%s: %v", stream.first, stream.makers)
		}
		assert.True(s.t, hasEachEventOnce(stream.makers, len(stream.makers)), "%v", stream.makers)
		for _, id := range stream.refused {
			assert.Zero(s.t, runs[id], "a refused try ran")
		}
	}
	assert.Zero(s.t, mixed, "streams with two software versions")
}

// takenUpTest breaks the connections of callers at one instance. The callers take their streams up at the others.
type takenUpTest struct {
	// planner selects the planner as the instance, and breaks is what happens to the instance.
	planner bool
	breaks  func(s *site, entry int)
}

func (c takenUpTest) run(t *testing.T) {
	t.Parallel()
	s := newCuttableSite(t, 3)
	for adapter := range adaptersBeforeCut {
		require.True(t, s.serves(0, fmt.Sprintf("a%d", adapter)))
	}
	s.addOtherSoftware()
	broken := s.planner()
	if !c.planner {
		broken = s.otherEntry(broken)
	}
	others := []int{(broken + 1) % 3, (broken + 2) % 3}
	streams := s.beginStreams(broken)
	require.False(t, t.Failed())
	c.breaks(s, broken)
	began := make(chan int, 1)
	go func() { began <- s.beginOthers(others) }()
	continued := s.takeUp(streams, others, takenUpEvents-eventsPerTry, namingFirst)
	begun := <-began
	t.Logf("%d of %d streams went on, %d of %d new ones began", continued, takenUpStreams, begun, newStreams)
	s.assertOneSoftware(streams)
	assert.GreaterOrEqual(t, 2*continued*newStreams, begun*takenUpStreams, "streams that went on, against new ones that began")
}

// TestTakenUpStreamGoesOnAtSoftwareThatBeganIt guards against a stream that its caller takes up at another instance and that goes on at
// another software version.
func TestTakenUpStreamGoesOnAtSoftwareThatBeganIt(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]takenUpTest{
		"the caller's link breaks":    {breaks: func(*site, int) {}},
		"the instance is killed":      {breaks: (*site).kill},
		"the planner is killed":       {planner: true, breaks: (*site).kill},
		"the instance is cut off":     {breaks: (*site).cutOff},
		"the instance stops by plan":  {breaks: (*site).stop},
		"the planner is cut off":      {planner: true, breaks: (*site).cutOff},
		"the instance starts again":   {breaks: func(s *site, entry int) { s.kill(entry); s.restart(entry) }},
		"the other instances restart": {breaks: (*site).restartOthers},
	} {
		t.Run(name, test.run)
	}
}

// cutOff cuts an instance off from the store, the workers and its peers.
func (s *site) cutOff(entry int) {
	e := s.entries[entry]
	e.storeCut.Store(true)
	e.network.set(hangingCut)
	e.cutPeers(true)
}

// stop stops an instance by plan while its requests run.
func (s *site) stop(entry int) {
	stopped := make(chan struct{})
	go func() {
		s.entries[entry].process.Stop()
		close(stopped)
	}()
	s.entries[entry].ended = true
	s.t.Cleanup(func() { <-stopped })
}

// restart starts an instance that has ended, and waits until it is ready.
func (s *site) restart(entry int) {
	s.entries[entry] = s.startEntry(entry)
	s.waitFor("the instance is ready", func() bool { return s.isReady(entry) })
}

// restartOthers restarts all instances but one, one after another.
func (s *site) restartOthers(entry int) {
	for other := range s.entries {
		if other != entry {
			s.kill(other)
			s.restart(other)
		}
	}
}

// TestStreamTakenUpTwiceGoesOnAtSoftwareThatBeganIt guards against an instance that takes the first try of its own for that of the stream.
func TestStreamTakenUpTwiceGoesOnAtSoftwareThatBeganIt(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.addOtherSoftware()
	streams := s.beginStreams(0)
	once := s.takeUp(streams, []int{1}, eventsPerTry, namingFirst)
	twice := s.takeUp(streams, []int{2, 0}, takenUpEvents-2*eventsPerTry, namingFirst)
	t.Logf("of %d streams %d went on once, %d twice", takenUpStreams, once, twice)
	s.assertOneSoftware(streams)
	assert.GreaterOrEqual(t, 2*twice, takenUpStreams)
}

// TestAdapterIsLoadedAtSoftwareOfTakenUpStream guards against a taken-up stream that does not go on since only endpoints of another software
// version have its adapter.
func TestAdapterIsLoadedAtSoftwareOfTakenUpStream(t *testing.T) {
	t.Parallel()
	const adapters = 4
	s := newSite(t, 2)
	s.addOtherSoftware()
	var streams []*takenUpStream
	for i := range adapters {
		streams = append(streams, &takenUpStream{adapter: fmt.Sprintf("rare%d", i)})
		require.Equal(t, http.StatusAccepted, orderVersion(t, s.models[0], streams[i].adapter, 1))
	}
	time.Sleep(2 * standin.HeartbeatInterval)
	for _, stream := range streams {
		require.True(t, stream.read(s, 0, "", eventsPerTry))
		require.Equal(t, s.models[0].ID(), stream.makers[0].Worker)
		orderVersion(t, s.models[2], stream.adapter, 1)
		orderVersion(t, s.models[3], stream.adapter, 1)
	}
	time.Sleep(2 * standin.HeartbeatInterval)
	s.models[0].Deregister()
	s.models[0].Crash()
	continued := s.takeUp(streams, []int{1}, takenUpEvents-eventsPerTry, namingFirst)
	s.assertOneSoftware(streams)
	assert.Equal(t, adapters, continued, "streams that went on")
	for _, stream := range streams {
		assert.True(t, hasLoadOrder(s.models[1], stream.adapter), "the adapter is loaded at the software version of the stream")
	}
}

// TestTakenUpStreamOfOnlySoftwareGoesOnAnywhere guards against streams that are refused although they can hold only one software version.
func TestTakenUpStreamOfOnlySoftwareGoesOnAnywhere(t *testing.T) {
	t.Parallel()
	for name, resumes := range map[string]func(*takenUpStream) string{
		"named": namingFirst, "not named": func(*takenUpStream) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			streams := s.beginStreams(0)
			continued := s.takeUp(streams, []int{0, 1}, takenUpEvents-eventsPerTry, resumes)
			s.assertOneSoftware(streams)
			assert.Equal(t, takenUpStreams, continued)
		})
	}
}

// TestStreamOfUnknownSoftwareIsRefused guards against a stream that goes on at a guessed software version.
func TestStreamOfUnknownSoftwareIsRefused(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.addOtherSoftware()
	for name, resumes := range map[string]string{"unknown try": "never-seen", "no try": ""} {
		t.Run(name, func(t *testing.T) {
			for entry := range s.entries {
				c := signedStream(entry, takenUpEvents, takenUpPause, "")
				c.header["Last-Event-Id"] = strconv.Itoa(eventsPerTry)
				if resumes != "" {
					c.header["Resumes"] = resumes
				}
				answer := s.do(c)
				assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
				assert.NotEmpty(t, answer.Header.Get("Retry-After"))
				assert.Zero(t, s.runCount(answer.ID))
			}
		})
	}
}

// TestTakenUpStreamIsRefusedIfItsSoftwareHasGone guards against a stream that goes on at the only software version that is left.
func TestTakenUpStreamIsRefusedIfItsSoftwareHasGone(t *testing.T) {
	t.Parallel()
	for name, breaks := range map[string]func(s *site, entry int){
		"the caller's link breaks":    func(*site, int) {},
		"the instance is killed":      (*site).kill,
		"the other instances restart": (*site).restartOthers,
		"all instances restart":       func(s *site, _ int) { s.restartAll() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			streams := s.beginStreams(0)
			s.addOtherSoftware()
			for _, worker := range s.models[:2] {
				worker.Deregister()
				worker.Crash()
			}
			breaks(s, 0)
			continued := s.takeUp(streams, []int{1, 2}, takenUpEvents-eventsPerTry, namingFirst)
			s.assertOneSoftware(streams)
			assert.Zero(t, continued, "streams that went on at another software version")
		})
	}
}
