//go:build review

// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// holdWorker is a ticketing worker. It books what the body names, and a grey one fails a share of the requests after it has booked.
type holdWorker struct {
	id    string
	site  *site
	grey  bool
	mutex sync.Mutex
	// failed is how many of the requests that it ran it has failed, never more than its share.
	failed int
	// ran is which attempt booked what; bookings is how often each thing was booked.
	ran      map[string]string
	bookings map[string]int
}

// greyShare is the share of its requests that a grey worker fails, as in the list of troubles of the site.
const greyShare = 0.45

func (w *holdWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == names.Report {
		_, _ = io.WriteString(writer, `{"phase":"mixed","models":[],"utilization":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":0,"handles":0}`)
		return
	}
	id := request.Header.Get(names.Attempt)
	if expected := request.Header.Get(names.Expect); expected != "" && expected != w.id {
		writer.Header().Set("X-Instance-Id", w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.mutex.Lock()
	w.ran[id] = string(body)
	w.bookings[string(body)]++
	fails := w.grey && float64(w.failed+1) <= greyShare*float64(len(w.ran))
	if fails {
		w.failed++
	}
	w.mutex.Unlock()
	time.Sleep(30 * time.Millisecond)
	writer.Header().Set(names.Attempt, id)
	writer.Header().Set(names.Seal, w.id+"."+id)
	if fails {
		w.site.record.printf("worker %s ran %s (%s) and answers 503 of its own, without the proof that it has not run", w.id, id, body)
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(writer, "booked, but the confirmation could not be printed\n")
		return
	}
	w.site.record.printf("worker %s ran %s (%s) and answers 200", w.id, id, body)
	_, _ = fmt.Fprintf(writer, "%s booked\n", body)
}

func playOwn503(s *site, trouble bool) (bool, error) {
	s.store.Put(platformstandin.ConfigurationKey, platformstandin.Configuration(1, nil))
	var workers []*holdWorker
	for i := range 3 {
		w := &holdWorker{
			id: fmt.Sprintf("i-hold-%d", i+1), site: s, grey: trouble && i == 0,
			ran: make(map[string]string), bookings: make(map[string]int),
		}
		server := httptest.NewServer(w)
		defer server.Close()
		workers = append(workers, w)
		s.store.Put(platformstandin.EndpointKey(w.id), map[string]any{
			"service": platformstandin.PlainService, "address": server.Listener.Addr().String(), "zone": fmt.Sprintf("h%d", i+1),
			"version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
		})
	}
	if err := s.startEntries(3); err != nil {
		return false, err
	}
	answers := make(map[string]platformstandin.Answer)
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for i := range 40 {
				hold(s, s.entries[c%len(s.entries)], fmt.Sprintf("cabin-%d-%d", c, i), func(a platformstandin.Answer) {
					mutex.Lock()
					defer mutex.Unlock()
					answers[a.ID] = a
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return judgeHolds(s, workers, answers), nil
}

// hold asks for one thing, and once more where the answer promises that the attempt has not run, as clients do on unsafe routes.
func hold(s *site, at *entry, thing string, got func(platformstandin.Answer)) {
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		a := platformstandin.Call{
			Path: platformstandin.UnsafePrefix + "x", Body: thing, Header: map[string]string{"X-Deadline-Ms": "1500"},
		}.Send(ctx, at.callers)
		cancel()
		s.record.printf("client got %d for %s (%s) from %s, seal %q, error %v", a.Status, a.ID, thing, at.name, a.Header.Get(names.Seal), a.Err)
		got(a)
		if !promisesNotRun(a.Status) {
			return
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(a.Header.Get("Retry-After")), 64)
		if err != nil {
			seconds = 0.05
		}
		time.Sleep(time.Duration(min(seconds, 0.5) * float64(time.Second)))
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func judgeHolds(s *site, workers []*holdWorker, answers map[string]platformstandin.Answer) bool {
	refused, twice, ran := 0, 0, 0
	bookings := make(map[string]int)
	for _, w := range workers {
		w.mutex.Lock()
		ran += len(w.ran)
		for id := range w.ran {
			if a, ok := answers[id]; ok && promisesNotRun(a.Status) {
				refused++
				s.record.printf("BROKEN: %s ran at %s, and its client got %d", id, w.id, a.Status)
			}
		}
		for thing, count := range w.bookings {
			bookings[thing] += count
		}
		w.mutex.Unlock()
	}
	for thing, count := range bookings {
		if count > 1 {
			twice++
			s.record.printf("seen: %s was booked %d times", thing, count)
		}
	}
	s.record.printf("%d attempts answered, %d ran; %d of those that ran were answered as not run; %d things booked more than once", len(answers), ran, refused, twice)
	return refused > 0
}
