// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/tests/standin"
)

// request is one streaming request of the demo.
type request struct {
	id     string
	model  string
	class  string
	tokens int
	// once requests must not be repeated, whoever repeats them.
	once bool
}

// onceEvery makes each so-manieth request one that must not be repeated.
const onceEvery = 5

// result is what became of it.
type result struct {
	request
	answered bool
	wrong    bool
	// told is true where the caller was told that the request was not run, or that it is unknown.
	told    bool
	detail  string
	first   time.Duration
	stalled time.Duration
	tries   int
}

const (
	seed         = 7
	maxTries     = 6
	zipfExponent = 1.1
	zipfOffset   = 2
)

func (d *demo) requests() []request {
	random := rand.New(rand.NewPCG(seed, seed))
	popular := rand.NewZipf(random, zipfExponent, zipfOffset, uint64(d.Adapters-1))
	classes := []string{"kiosk", "traveller", "traveller", "overnight"}
	out := make([]request, 0, d.Requests)
	for i := range d.Requests {
		out = append(out, request{
			id: fmt.Sprintf("demo-%04d", i), class: classes[i%len(classes)], tokens: 10 + random.IntN(30),
			model: fmt.Sprintf("fare-%03d@%d", popular.Uint64(), 1+random.IntN(2)), once: i%onceEvery == 0,
		})
	}
	return out
}

// sendAll sends the requests with a bound on those at once; a third of the way an
// engine restarts, and half way a daemon stops by plan.
func (d *demo) sendAll() error {
	queue := make(chan request)
	d.results = make([]result, 0, d.Requests)
	var mutex sync.Mutex
	var workers sync.WaitGroup
	var turn atomic.Int64
	for range d.Parallel {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for q := range queue {
				r := d.send(q, &turn)
				mutex.Lock()
				d.results = append(d.results, r)
				mutex.Unlock()
			}
		}()
	}
	err := d.feed(queue)
	close(queue)
	workers.Wait()
	return err
}

func (d *demo) feed(queue chan<- request) error {
	for i, q := range d.requests() {
		switch i {
		case d.Requests / 3:
			name := d.places.Engines[0].Name
			fmt.Println("restarting engine", name)
			resp, err := http.Post("http://"+d.places.Control.String()+"/restart/"+name, "", nil)
			if err != nil {
				return fmt.Errorf("restart: %w", err)
			}
			_ = resp.Body.Close()
		case d.Requests / 2:
			fmt.Println("stopping daemon", d.daemons[1].place.ID)
			if err := d.daemons[1].stop(); err != nil {
				return fmt.Errorf("stop: %w", err)
			}
		}
		queue <- q
	}
	return nil
}

// send is the platform's balancer and a patient caller in one: it goes to a daemon
// that is ready, and comes again when it is told that the request was not run.
func (d *demo) send(q request, turn *atomic.Int64) result {
	r := result{request: q}
	for r.tries < maxTries {
		r.tries++
		p := d.daemons[int(turn.Add(1))%len(d.daemons)]
		if p.stopped {
			p = d.daemons[0]
		}
		again, wait := d.try(p, &r)
		if !again {
			return r
		}
		time.Sleep(wait)
	}
	return r
}

type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
	} `json:"error"`
}

// try makes one attempt; it gives true, and how long to wait, where the request may be sent again.
func (d *demo) try(p *process, r *result) (bool, time.Duration) {
	body, _ := json.Marshal(map[string]any{
		"model": r.model, "stream": true, "max_tokens": r.tokens, "messages": []map[string]string{{"role": "user", "content": "demo " + r.id}},
	})
	q, err := http.NewRequest(http.MethodPost, "http://"+p.place.Callers.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		r.detail = err.Error()
		return false, 0
	}
	q.Header.Set("X-Class", r.class)
	q.Header.Set("X-Caller", "demo")
	q.Header.Set("X-Request-Id", r.id)
	q.Header.Set("X-Once", strconv.FormatBool(r.once))
	began := time.Now()
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		// Nothing was answered: a daemon that has just gone.
		r.detail = err.Error()
		return true, 50 * time.Millisecond
	}
	defer func() { _ = resp.Body.Close() }()
	ms, _ := strconv.Atoi(resp.Header.Get("X-Stalled-Ms"))
	r.stalled = time.Duration(ms) * time.Millisecond
	return r.read(resp, began)
}

func (r *result) read(resp *http.Response, began time.Time) (bool, time.Duration) {
	if resp.StatusCode != http.StatusOK {
		var c chunk
		_ = json.NewDecoder(resp.Body).Decode(&c)
		if c.Error == nil {
			r.detail = resp.Status
			return false, 0
		}
		r.told, r.detail = true, c.Error.Outcome+" "+c.Error.Code
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return c.Error.Outcome == "not_run", time.Duration(max(0, seconds))*time.Second + 20*time.Millisecond
	}
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if r.first == 0 {
			r.first = time.Since(began)
		}
		if data == "[DONE]" {
			r.answered = true
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			r.wrong, r.detail = true, err.Error()
			return false, 0
		}
		if c.Error != nil {
			r.told, r.detail = true, c.Error.Outcome+" "+c.Error.Code
			return false, 0
		}
		r.wrong = r.wrong || c.Model != r.model
		text.WriteString(c.Choices[0].Delta.Content)
	}
	if r.answered && text.String() != r.expected() {
		r.wrong, r.detail = true, "the text is not this request's, or not whole"
	}
	return false, 0
}

func (r *result) expected() string {
	var text strings.Builder
	for i := range r.tokens {
		text.WriteString(standin.Token(r.id, i))
	}
	return text.String()
}

// judge prints the table and tells whether every answer was as it must be.
func (d *demo) judge() bool {
	fmt.Printf("%-10s %8s %8s %8s %6s %6s %26s %32s\n", "class", "requests", "answered", "told", "lost", "wrong", "load stall p50/p95/p99 ms", "first token p50/p95/p99 ms")
	good := true
	for _, class := range []string{"kiosk", "traveller", "overnight"} {
		good = d.judgeClass(class) && good
	}
	fmt.Printf("loads %d, evictions %d, promises broken on the engines %d\n", d.report.Loads, d.report.Evicted, len(d.report.Broken))
	for _, line := range d.report.Broken {
		fmt.Println("  ", line)
	}
	doubled := d.doubled()
	fmt.Printf("requests that must not be repeated %d, run more than once by the engines' account %d\n", d.Requests/onceEvery, doubled)
	return good && len(d.report.Broken) == 0 && doubled == 0
}

// doubled counts the once-requests that the engines began to run more than once; others
// may run again after a restart has broken them off.
func (d *demo) doubled() int {
	runs := make(map[string]int)
	for id, n := range d.report.Runs {
		callerID, _, _ := strings.Cut(id, "~")
		runs[callerID] += n
	}
	doubled := 0
	for _, r := range d.results {
		if r.once && runs[r.id] > 1 {
			doubled++
		}
	}
	return doubled
}

func (d *demo) judgeClass(class string) bool {
	var requests, answered, told, lost, wrong int
	var stalls, firsts []time.Duration
	for _, r := range d.results {
		if r.class != class {
			continue
		}
		requests++
		switch {
		case r.wrong:
			wrong++
			fmt.Println("  wrong:", r.id, r.model, r.detail)
		case r.answered:
			answered++
			stalls = append(stalls, r.stalled)
			firsts = append(firsts, r.first)
		case r.told:
			told++
			fmt.Println("  told:", r.id, r.detail)
		default:
			lost++
			fmt.Println("  lost:", r.id, r.detail)
		}
	}
	fmt.Printf("%-10s %8d %8d %8d %6d %6d %26s %32s\n", class, requests, answered, told, lost, wrong, quantiles(stalls), quantiles(firsts))
	return lost == 0 && wrong == 0 && answered > 0
}

func quantiles(list []time.Duration) string {
	if len(list) == 0 {
		return "-"
	}
	slices.Sort(list)
	at := func(q float64) int64 {
		return list[min(len(list)-1, int(math.Ceil(q*float64(len(list))))-1)].Milliseconds()
	}
	return fmt.Sprintf("%d / %d / %d", at(0.5), at(0.95), at(0.99))
}
