// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"net/http"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// watchBuffer is how many events of a watch may wait to be sent; further events are dropped.
const watchBuffer = 256

func (s *KV) watch(w http.ResponseWriter, q *http.Request) {
	var in kv.WatchRequest
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	watcher := &kvWatcher{key: string(in.Create.Key), events: make(chan kv.WatchEvent, watchBuffer)}
	s.mutex.Lock()
	if s.faults.Down {
		s.mutex.Unlock()
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	s.reads++
	s.watchers[watcher] = true
	if p, ok := s.pairs[watcher.key]; ok && in.Create.StartRevision > 0 && p.ModRevision >= in.Create.StartRevision {
		watcher.events <- kv.WatchEvent{KV: p}
	}
	first := kv.WatchResponse{Result: kv.WatchResult{Header: s.header(), Created: true}}
	s.mutex.Unlock()
	s.serveWatch(w, q, watcher, first)
}

func (s *KV) serveWatch(w http.ResponseWriter, q *http.Request, watcher *kvWatcher, first kv.WatchResponse) {
	defer func() {
		s.mutex.Lock()
		delete(s.watchers, watcher)
		s.mutex.Unlock()
	}()
	out := json.NewEncoder(w)
	flusher := w.(http.Flusher)
	_ = out.Encode(first)
	flusher.Flush()
	for {
		select {
		case <-q.Context().Done():
			return
		case e, open := <-watcher.events:
			if !open {
				return
			}
			_ = out.Encode(kv.WatchResponse{Result: kv.WatchResult{Events: []kv.WatchEvent{e}}})
			flusher.Flush()
		}
	}
}
