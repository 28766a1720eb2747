// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one chat request of a caller to a daemon.
type Call struct {
	ID, Model, Class, Caller string
	Tokens                   int
	// Once asks that it runs at most once, Whole for one answer in place of a stream.
	Once, Whole bool
	// Client keeps the caller's connections; nil shares those of all.
	Client *http.Client
}

// Answer is what a caller got; Done is set once the answer has ended as a whole one.
type Answer struct {
	Status                int
	Model, Endpoint, Text string
	Done                  bool
	// Failure and Outcome are the code and the outcome of an error.
	Failure, Outcome string
	// RetryAfter and Stalled are what the header says, First the time to the first event.
	RetryAfter, Stalled, First time.Duration
	Err                        error
}

// chunk is an event of a stream, a whole answer, or the body of an error.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// Expected gives the text of the call's whole answer.
func (c Call) Expected() string {
	text := ""
	for i := range c.Tokens {
		text += Token(c.ID, i)
	}
	return text
}

// Send sends the call to a daemon at HOST:PORT and reads its answer to the end.
func (c Call) Send(ctx context.Context, address string) Answer {
	body, err := json.Marshal(map[string]any{
		"model": c.Model, "stream": !c.Whole, "max_tokens": c.Tokens, "messages": []chatMessage{{Role: "user", Content: "please answer " + c.ID}},
	})
	if err != nil {
		return Answer{Err: err}
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	post.Header.Set("X-Request-Id", c.ID)
	post.Header.Set("X-Class", c.Class)
	post.Header.Set("X-Caller", c.Caller)
	if c.Once {
		post.Header.Set("X-Once", "true")
	}
	began := time.Now()
	client := c.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(post)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := Answer{Status: response.StatusCode, Model: response.Header.Get("X-Model"), Endpoint: response.Header.Get("X-Endpoint")}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	stalled, _ := strconv.Atoi(response.Header.Get("X-Stalled-Ms"))
	a.RetryAfter, a.Stalled = time.Duration(seconds)*time.Second, time.Duration(stalled)*time.Millisecond
	if c.Whole || response.StatusCode != http.StatusOK {
		a.readWhole(response)
		return a
	}
	a.readStream(response, began)
	return a
}

func (a *Answer) readWhole(response *http.Response) {
	var one chunk
	a.Err = json.NewDecoder(response.Body).Decode(&one)
	if one.Error != nil {
		a.Failure, a.Outcome = one.Error.Code, one.Error.Outcome
	} else if len(one.Choices) > 0 {
		a.Text, a.Done = one.Choices[0].Message.Content, true
	}
}

func (a *Answer) readStream(response *http.Response, began time.Time) {
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if a.First == 0 {
			a.First = time.Since(began)
		}
		if data == "[DONE]" {
			a.Done = true
			return
		}
		var one chunk
		if a.Err = json.Unmarshal([]byte(data), &one); a.Err != nil {
			return
		}
		if one.Error != nil {
			a.Failure, a.Outcome = one.Error.Code, one.Error.Outcome
			return
		}
		if one.Model != a.Model {
			a.Err = fmt.Errorf("an event of %q in an answer of %q", one.Model, a.Model)
			return
		}
		a.Text += one.Choices[0].Delta.Content
	}
	a.Err = lines.Err()
}
