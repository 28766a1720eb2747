// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/engine"
)

// completionBody is what the engine reads of a request.
type completionBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const usualTokens = 16

// nonce gives the part of a prompt that every token repeats, so that a caller can
// tell its own answer from any other.
func nonce(prompt string) string {
	fields := strings.Fields(prompt)
	if len(fields) == 0 {
		return "none"
	}
	return fields[len(fields)-1]
}

// Token gives the text of one token.
func Token(nonce string, index int) string {
	return nonce + "#" + strconv.Itoa(index) + " "
}

func (e *Engine) complete(w http.ResponseWriter, q *http.Request) {
	var b completionBody
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	from, _ := strconv.Atoi(q.Header.Get(engine.HeaderResumeFrom))
	r, ok := e.begin(w, q, b, from)
	if !ok {
		return
	}
	defer e.leave(r)
	if b.Stream {
		e.stream(w, q, r, from)
		return
	}
	e.whole(w, q, r)
}

// begin queues a request, or finds the run that a caller wants to resume.
func (e *Engine) begin(w http.ResponseWriter, q *http.Request, b completionBody, from int) (*run, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	id := q.Header.Get(engine.HeaderRequestID)
	if from > 0 {
		return e.resume(w, id)
	}
	if !e.allowed(w, q, false) {
		return nil, false
	}
	if !e.resident[b.Model] {
		w.Header().Set(engine.HeaderNotRun, "true")
		e.headers(w)
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return nil, false
	}
	r := newRun(id, b)
	e.runs[id] = r
	e.queue = append(e.queue, r)
	e.headers(w)
	w.Header().Set(engine.HeaderRequestID, id)
	w.Header().Set(engine.HeaderModel, b.Model)
	return r, true
}

func newRun(id string, b completionBody) *run {
	r := &run{id: id, model: b.Model, nonce: "none", tokens: b.MaxTokens, changed: make(chan struct{}), readers: 1}
	if r.tokens <= 0 {
		r.tokens = usualTokens
	}
	if len(b.Messages) > 0 {
		r.nonce = nonce(b.Messages[len(b.Messages)-1].Content)
	}
	return r
}

func (e *Engine) resume(w http.ResponseWriter, id string) (*run, bool) {
	r := e.runs[id]
	if r == nil || r.broken {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "no such run", http.StatusNotFound)
		return nil, false
	}
	r.readers++
	e.headers(w)
	w.Header().Set(engine.HeaderRequestID, id)
	w.Header().Set(engine.HeaderModel, r.model)
	return r, true
}

// leave takes a reader away from a run; one without readers goes on for a while.
func (e *Engine) leave(r *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r.readers--
	r.idle = time.Now()
	if r.readers == 0 && r.ended && e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}

// progress gives what a run has made so far and what to wait on for more.
func (e *Engine) progress(r *run) (made int, ended, broken bool, changed <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return r.made, r.ended, r.broken, r.changed
}

func (e *Engine) stream(w http.ResponseWriter, q *http.Request, r *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	sent := from
	for {
		made, ended, broken, changed := e.progress(r)
		for ; sent < made; sent++ {
			if _, err := w.Write(event(r, sent)); err != nil {
				return
			}
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
		if ended {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		}
	}
}

func event(r *run, index int) []byte {
	return fmt.Appendf(nil, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		r.id, r.model, Token(r.nonce, index))
}

func (e *Engine) whole(w http.ResponseWriter, q *http.Request, r *run) {
	for {
		_, ended, broken, changed := e.progress(r)
		if broken {
			panic(http.ErrAbortHandler)
		}
		if ended {
			break
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		}
	}
	text := ""
	for i := range r.tokens {
		text += Token(r.nonce, i)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": r.id, "model": r.model, "choices": []map[string]any{{"index": 0, "message": chatMessage{Role: "assistant", Content: text}}},
	})
}
