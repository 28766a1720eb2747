// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// maxTries is how often a caller tries a request that was refused as not run.
const maxTries = 5

// traffic sends requests and checks their answers.
type traffic struct {
	demo     *demo
	client   *http.Client
	mutex    sync.Mutex
	left     map[int]bool
	next     int
	answered int
	refused  int
	wrong    []error
}

func newTraffic(d *demo) *traffic {
	return &traffic{demo: d, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, left: make(map[int]bool)}
}

// leave keeps new requests away from an entry, as the balancer does.
func (t *traffic) leave(entry int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.left[entry] = true
}

func (t *traffic) run() {
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			random := rand.New(rand.NewPCG(uint64(caller), 1))
			for range requests {
				t.one(random)
			}
		})
	}
	running.Wait()
}

func (t *traffic) one(random *rand.Rand) {
	path, adapter := "/chat/x", fmt.Sprintf("a%d", min(random.IntN(adapters), random.IntN(adapters)))
	switch random.IntN(4) {
	case 0:
		path, adapter = "/hold/x", ""
	case 1:
		path, adapter = "/status/x", ""
	}
	err := t.check(func() int { return t.entry(random) }, path, adapter)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err != nil {
		t.wrong = append(t.wrong, err)
		return
	}
	t.answered++
}

func (t *traffic) entry(random *rand.Rand) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for {
		if entry := random.IntN(entries); !t.left[entry] {
			return entry
		}
	}
}

// check sends a request, each time to the entry that pick gives, until it is not refused, and
// checks the answer.
func (t *traffic) check(pick func() int, path, adapter string) error {
	for range maxTries {
		id, response, err := t.send(pick(), path, adapter)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// An entry that has ended took nothing; the balancer goes to another one.
			continue
		}
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return fmt.Errorf("%s: the answer broke off: %w", id, err)
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			t.noteRefused()
			pause, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(pause * float64(time.Second)))
			continue
		}
		return t.judge(id, adapter, response, string(body))
	}
	return fmt.Errorf("%s%s: refused %d times", path, adapter, maxTries)
}

func (t *traffic) send(entry int, path, adapter string) (string, *http.Response, error) {
	t.mutex.Lock()
	t.next++
	id := fmt.Sprintf("demo-%d", t.next)
	t.mutex.Unlock()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", t.demo.ips[entry], t.demo.ports.Callers, path), strings.NewReader("prompt"))
	if err != nil {
		return id, nil, err
	}
	request.Host = standin.Host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "5000")
	if adapter != "" {
		request.Header.Set("X-Model", standin.Model+"/"+adapter)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return id, nil, fmt.Errorf("%s at entry-%d: %w", id, entry, err)
	}
	return id, response, nil
}

func (t *traffic) noteRefused() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refused++
}

// judge checks that an answer is whole, its own and from the right adapter, and that it ran once.
func (t *traffic) judge(id, adapter string, response *http.Response, body string) error {
	if response.StatusCode != http.StatusOK || response.Header.Get("X-Attempt-Id") != id || response.Header.Get("X-Server-Seal") == "" {
		return fmt.Errorf("%s: status %d, header %v, body %q", id, response.StatusCode, response.Header, body)
	}
	if adapter != "" {
		for event := 1; event <= events; event++ {
			if !strings.Contains(body, fmt.Sprintf("id: %d\ndata: %s.%s.%d\n\n", event, id, adapter, event)) {
				return fmt.Errorf("%s: event %d of %s is missing in %q", id, event, adapter, body)
			}
		}
	}
	runs := 0
	for _, worker := range append(append([]*standin.Worker(nil), t.demo.models...), t.demo.plain...) {
		for _, run := range worker.Runs() {
			if run.ID == id {
				runs++
			}
		}
	}
	if runs != 1 {
		return fmt.Errorf("%s ran %d times", id, runs)
	}
	return nil
}
