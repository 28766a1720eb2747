// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP serves one call, or fails it according to the faults.
func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	faults, limited, era := s.faults, s.exceedsRate(), s.era
	s.mutex.Unlock()
	if faults.Silent {
		// While the body is not read, the end of the connection does not end the context.
		select {
		case <-request.Context().Done():
		case <-s.closed:
		}
		return
	}
	setEra(writer, era)
	switch {
	case faults.Down:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case limited:
		writer.WriteHeader(http.StatusTooManyRequests)
	default:
		s.mux.ServeHTTP(writer, request)
	}
}

// setEra tells the era in an answer. It replaces an era that was told before, since the store may have come back meanwhile.
func setEra(writer http.ResponseWriter, era int64) {
	writer.Header().Set("Store-Era", strconv.FormatInt(era, 10))
}

func (s *Store) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("/-/kv-key", s.handler(s.getKey))
	mux.HandleFunc("/-/kv-range", s.handler(s.rangePage))
	mux.HandleFunc("/-/kv-watch", s.serveWatch)
	mux.HandleFunc("/-/kv-txn", s.handler(s.serveCommit))
	mux.HandleFunc("/-/kv-lease", s.handler(s.grantLease))
	mux.HandleFunc("/-/kv-keep/{id}", s.handler(s.keepLease))
	mux.HandleFunc("/-/kv-lease-end/{id}", s.handler(s.releaseLease))
	return mux
}

// handler returns a handler for a call that returns a status and, with 200 or 412, a body. The mutex is held during the call.
func (s *Store) handler(call func(request *http.Request) (int, any)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		status, body := call(request)
		setEra(writer, s.era)
		reply(writer, status, body)
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	if body == nil {
		writer.WriteHeader(status)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *Store) getKey(request *http.Request) (int, any) {
	stored, ok := s.items[request.URL.Query().Get("private_key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, stored
}

// pageSize is the number of items of a page. It is small so that tests cover paging.
const pageSize = 5

func (s *Store) rangePage(request *http.Request) (int, any) {
	query := request.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "more": len(keys) > len(items), "at": s.revision}
}

func (s *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	// A watch that was open while StoreFaults.Deaf was set receives no events until it ends.
	deaf := false
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	setEra(writer, era)
	for {
		s.mutex.Lock()
		if s.era != era {
			s.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision {
			s.mutex.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		deaf = deaf || s.faults.Deaf
		if after < s.compacted && !deaf {
			s.mutex.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		var events []item
		if !deaf {
			events = s.eventsAfter(query.Get("path_prefix"), after)
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(writer, http.StatusOK, map[string]any{"events": []item{}, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after int64) []item {
	var events []item
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events
}

type transaction struct {
	Expected []struct {
		Key      string `json:"private_key"`
		Revision int64  `json:"revision"`
	} `json:"expected_count"`
	Put []struct {
		Key   string `json:"private_key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

func (s *Store) serveCommit(request *http.Request) (int, any) {
	var body transaction
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	if take(&s.faults.LateWrites) {
		time.AfterFunc(s.faults.LateBy, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.commit(body)
		})
		panic(http.ErrAbortHandler)
	}
	status, answer := s.commit(body)
	if take(&s.faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	return status, answer
}

// commit applies all changes of a transaction or none.
func (s *Store) commit(body transaction) (int, any) {
	var differ []item
	for _, entry := range body.Expected {
		if s.items[entry.Key].Revision != entry.Revision {
			differ = append(differ, s.items[entry.Key])
		}
	}
	if len(differ) > 0 {
		return http.StatusPreconditionFailed, map[string]any{"items": differ}
	}
	for _, entry := range body.Put {
		if _, ok := s.leases[entry.Lease]; entry.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
		if strings.HasPrefix(entry.Key, "op/") || strings.HasPrefix(entry.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	// All changes of a transaction have the same revision.
	s.revision++
	for _, entry := range body.Put {
		s.put(entry.Key, entry.Value, entry.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notifyWatches()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grantLease(request *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.nextLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": body.TTL}
}

func (s *Store) keepLease(request *http.Request) (int, any) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	granted, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	granted.expires = time.Now().Add(granted.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": granted.ttl.Milliseconds()}
}

func (s *Store) releaseLease(request *http.Request) (int, any) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	if _, ok := s.leases[id]; !ok {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, map[string]any{}
}
