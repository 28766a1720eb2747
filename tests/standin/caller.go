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
	// Once requests that the call runs at most once, NonStreaming that it has a single answer instead of a stream.
	Once, NonStreaming bool
	// Client holds the connections of the caller; nil means http.DefaultClient, whose connections all callers share.
	Client *http.Client
}

// Answer is what a caller received. Done is set if the answer was complete.
type Answer struct {
	Status                int
	Model, Endpoint, Text string
	Done                  bool
	// ErrorCode and Outcome are the code and the outcome in the body of an error.
	ErrorCode, Outcome string
	// RetryAfter and Stalled are the values of the Retry-After and X-Stalled-Ms headers. First is the time to the first event.
	RetryAfter, Stalled, TimeToFirstEvent time.Duration
	Err                                   error
}

// responseBody is an event of a stream, a complete answer, or the body of an error.
type responseBody struct {
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

// ExpectedText returns the text of the complete answer to the call.
func (c Call) ExpectedText() string {
	text := ""
	for i := range c.Tokens {
		text += Token(c.ID, i)
	}
	return text
}

// Send sends the call to the daemon at HOST:PORT and reads the complete answer.
func (c Call) Send(ctx context.Context, address string) Answer {
	body, err := json.Marshal(map[string]any{
		"model": c.Model, "stream": !c.NonStreaming, "max_tokens": c.Tokens, "messages": []chatMessage{{Role: "user", Content: "please answer " + c.ID}},
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
	if c.NonStreaming || response.StatusCode != http.StatusOK {
		a.readWhole(response)
		return a
	}
	a.readStream(response, began)
	return a
}

func (a *Answer) readWhole(response *http.Response) {
	var body responseBody
	a.Err = json.NewDecoder(response.Body).Decode(&body)
	if body.Error != nil {
		a.ErrorCode, a.Outcome = body.Error.Code, body.Error.Outcome
	} else if len(body.Choices) > 0 {
		a.Text, a.Done = body.Choices[0].Message.Content, true
	}
}

func (a *Answer) readStream(response *http.Response, began time.Time) {
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if a.TimeToFirstEvent == 0 {
			a.TimeToFirstEvent = time.Since(began)
		}
		if data == "[DONE]" {
			a.Done = true
			return
		}
		var event responseBody
		if a.Err = json.Unmarshal([]byte(data), &event); a.Err != nil {
			return
		}
		if event.Error != nil {
			a.ErrorCode, a.Outcome = event.Error.Code, event.Error.Outcome
			return
		}
		if event.Model != a.Model {
			a.Err = fmt.Errorf("stream event has model %q, but the response header has model %q", event.Model, a.Model)
			return
		}
		a.Text += event.Choices[0].Delta.Content
	}
	a.Err = lines.Err()
}
