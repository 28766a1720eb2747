// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
)

// List is the platform's list of instances and endpoints. Readers see its state with a lag.
type List struct {
	mutex   sync.Mutex
	lag     time.Duration
	history []listState
}

type listState struct {
	at   time.Time
	list instancelist.List
}

// NewList returns an empty list with the given lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag}
}

// Set replaces the entries. Readers see the new entries after the lag.
func (l *List) Set(entries []instancelist.Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.history = append(l.history, listState{at: time.Now(), list: instancelist.List{Entries: entries}})
}

func (l *List) visible(now time.Time) instancelist.List {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var out instancelist.List
	for i, s := range l.history {
		if i == 0 || now.Sub(s.at) >= l.lag {
			out = s.list
		}
	}
	return out
}

// Handler returns a handler that serves the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(l.visible(time.Now()))
	})
	return mux
}

// Store is the weight store. It limits the rate at which fetches start, and slows fetches down if more than fullSpeedLimit run at once.
type Store struct {
	mutex          sync.Mutex
	rate           float64
	fullSpeedLimit int
	time           time.Duration
	next           time.Time
	active         int
}

// NewStore returns a weight store that starts rate fetches per second and runs atFullSpeed of them at once at full speed, in the time fetch.
func NewStore(rate float64, atFullSpeed int, fetch time.Duration) *Store {
	return &Store{rate: rate, fullSpeedLimit: atFullSpeed, time: fetch}
}

// Fetch fetches the weights of an adapter, and returns after the time that the fetch takes.
func (s *Store) Fetch(name string) error {
	if name == "" {
		return fmt.Errorf("fetch weights: name is empty")
	}
	s.mutex.Lock()
	now := time.Now()
	begin := now
	if s.next.After(now) {
		begin = s.next
	}
	s.next = begin.Add(time.Duration(float64(time.Second) / s.rate))
	s.active++
	slow := max(1, float64(s.active)/float64(s.fullSpeedLimit))
	s.mutex.Unlock()
	time.Sleep(begin.Sub(now) + time.Duration(float64(s.time)*slow))
	s.mutex.Lock()
	s.active--
	s.mutex.Unlock()
	return nil
}

// Plain is a plain service that counts calls by their body.
type Plain struct {
	mutex sync.Mutex
	calls map[string]int
	delay time.Duration
}

// NewPlain returns a plain service that answers each call after the delay.
func NewPlain(delay time.Duration) *Plain {
	return &Plain{calls: make(map[string]int), delay: delay}
}

// Calls returns the number of calls with the body.
func (p *Plain) Calls(body string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls[body]
}

// Handler returns a handler that answers each call with its method, path and body, and health checks with an empty body.
func (p *Plain) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mutex.Lock()
		p.calls[string(body)]++
		p.mutex.Unlock()
		time.Sleep(p.delay)
		w.Header().Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(w, "%s %s %s", q.Method, q.URL.Path, body)
	})
}
