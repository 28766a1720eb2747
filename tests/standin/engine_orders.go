// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/shelfledge/shelfledge/modules/daemon/engine"
)

// checkFence checks the fence and the incarnation of a call, and of an order also the holder of an equal fence. It answers with 412 and returns
// false if they do not match. The caller holds the mutex.
func (e *Engine) checkFence(w http.ResponseWriter, q *http.Request, order bool) bool {
	if !e.options.ChecksFence {
		return true
	}
	fence, _ := strconv.ParseUint(q.Header.Get(engine.HeaderFence), 10, 64)
	incarnation := q.Header.Get(engine.HeaderIncarnation)
	same := !order || fence > e.fence || q.Header.Get(engine.HeaderHolder) == e.holder
	if fence < e.fence || incarnation != e.incarnationName() || !same {
		e.headers(w)
		http.Error(w, "fence or incarnation", http.StatusPreconditionFailed)
		return false
	}
	return true
}

func (e *Engine) setFence(w http.ResponseWriter, q *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.checkFence(w, q, true) {
		return
	}
	e.fence, _ = strconv.ParseUint(q.Header.Get(engine.HeaderFence), 10, 64)
	e.holder = q.Header.Get(engine.HeaderHolder)
	e.headers(w)
}

type loraBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

func readLora(w http.ResponseWriter, q *http.Request) (loraBody, bool) {
	var b loraBody
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil || b.Name == "" {
		http.Error(w, "bad body", http.StatusBadRequest)
		return b, false
	}
	return b, true
}

func (e *Engine) load(w http.ResponseWriter, q *http.Request) {
	b, ok := readLora(w, q)
	if !ok || !e.beginLoad(w, q, b.Name) {
		return
	}
	err := e.options.Fetch(b.Path)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.loading, b.Name)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.resident[b.Name] = true
	e.loads++
	e.headers(w)
}

func (e *Engine) beginLoad(w http.ResponseWriter, q *http.Request, name string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.checkFence(w, q, true) {
		return false
	}
	if e.resident[name] || e.loading[name] {
		http.Error(w, "loaded already", http.StatusBadRequest)
		return false
	}
	if len(e.resident)+len(e.loading) >= e.options.Slots {
		http.Error(w, "no free slot", http.StatusBadRequest)
		return false
	}
	e.loading[name] = true
	return true
}

func (e *Engine) unload(w http.ResponseWriter, q *http.Request) {
	b, ok := readLora(w, q)
	if !ok {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.checkFence(w, q, true) {
		return
	}
	for _, r := range e.runs {
		if r.model == b.Name && !r.ended {
			e.violations = append(e.violations, "unloaded while in use: "+b.Name+" by "+r.id)
		}
	}
	if !e.resident[b.Name] {
		http.Error(w, "not loaded", http.StatusNotFound)
		return
	}
	delete(e.resident, b.Name)
	e.evictions++
	e.headers(w)
}

func (e *Engine) cancel(w http.ResponseWriter, q *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r := e.runs[q.PathValue("id")]; r != nil && !r.ended {
		e.endRun(r, true)
	}
	e.headers(w)
}
