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

// completionBody holds the fields of a request that the engine uses.
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

// defaultTokens is the number of tokens of an answer if the request names none.
const defaultTokens = 16

// nonce returns the last word of a prompt. Each token of the answer repeats it, so that a caller can distinguish its own answer from
// others.
func nonce(prompt string) string {
	fields := strings.Fields(prompt)
	if len(fields) == 0 {
		return "none"
	}
	return fields[len(fields)-1]
}

// Token returns the text of one token.
func Token(nonce string, index int) string {
	return nonce + "#" + strconv.Itoa(index) + " "
}

func (e *Engine) serveCompletion(w http.ResponseWriter, q *http.Request) {
	var b completionBody
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	from, _ := strconv.Atoi(q.Header.Get(engine.HeaderResumeFrom))
	r, ok := e.enqueue(w, q, b, from)
	if !ok {
		return
	}
	defer e.removeReader(r)
	if b.Stream {
		e.writeStream(w, q, r, from)
		return
	}
	e.writeWhole(w, q, r)
}

// enqueue queues a request, or returns the run that a caller wants to resume.
func (e *Engine) enqueue(w http.ResponseWriter, q *http.Request, b completionBody, from int) (*run, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	id := q.Header.Get(engine.HeaderRequestID)
	if from > 0 {
		return e.resume(w, id)
	}
	if !e.checkFence(w, q, false) {
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
		r.tokens = defaultTokens
	}
	if len(b.Messages) > 0 {
		r.nonce = nonce(b.Messages[len(b.Messages)-1].Content)
	}
	return r
}

func (e *Engine) resume(w http.ResponseWriter, id string) (*run, bool) {
	r := e.runs[id]
	if r == nil || r.aborted {
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

// removeReader removes a reader from a run. A run without readers continues for resumeTimeout.
func (e *Engine) removeReader(r *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r.readers--
	r.lastReadAt = time.Now()
	if r.readers == 0 && r.ended && e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}

// progress returns the number of tokens that a run has generated, its state, and a channel that is closed at the next change.
func (e *Engine) progress(r *run) (generated int, ended, aborted bool, changed <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return r.generated, r.ended, r.aborted, r.changed
}

func (e *Engine) writeStream(w http.ResponseWriter, q *http.Request, r *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	sent := from
	for {
		generated, ended, aborted, changed := e.progress(r)
		for ; sent < generated; sent++ {
			if _, err := w.Write(event(r, sent)); err != nil {
				return
			}
		}
		if aborted {
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

func (e *Engine) writeWhole(w http.ResponseWriter, q *http.Request, r *run) {
	for {
		_, ended, aborted, changed := e.progress(r)
		if aborted {
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
