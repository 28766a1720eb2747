// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"
)

// Call is one request of a caller to an entry instance. An empty Method means POST. Header overrides the default headers.
type Call struct {
	Method, Path, Adapter, Body string
	Header                      map[string]string
	// From is the source address of the caller. If it is not valid, the system chooses the address.
	From netip.Addr
}

// Answer is what a caller received. Err is the error of a request that failed or whose answer was incomplete.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Err    error
}

// requestCount numbers the requests, so that each has a unique ID.
var requestCount atomic.Int64

// sharedClient uses a new connection for each request and never repeats a request.
var sharedClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// clientFrom returns a client whose connections have the given source address, or sharedClient if the address is not valid.
func clientFrom(address netip.Addr) *http.Client {
	if !address.IsValid() {
		return sharedClient
	}
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}}
}

// request returns the call as a request to the entry instance at HOST:PORT, and its ID.
func (c Call) request(ctx context.Context, address string) (*http.Request, string, error) {
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	id := fmt.Sprintf("id-%d", requestCount.Add(1))
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, id, err
	}
	request.Host = Host
	request.Header.Set(HeaderRequestID, id)
	request.Header.Set(headerDeadline, defaultDeadline)
	if c.Adapter != "" {
		request.Header.Set(headerModel, Model+"/"+c.Adapter)
		request.Header.Set(headerTokens, defaultTokens)
	}
	for name, value := range c.Header {
		request.Header.Set(name, value)
	}
	return request, id, nil
}

// Send sends the call to the entry instance at HOST:PORT and reads the complete answer.
func (c Call) Send(ctx context.Context, address string) Answer {
	request, id, err := c.request(ctx, address)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	response, err := clientFrom(c.From).Do(request)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{ID: id, Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}

// RequestHead is the head of a request that a caller writes to the connection itself.
type RequestHead struct {
	Path, ID, Adapter string
	// Deadline is the deadline that the request names; 0 for none.
	Deadline time.Duration
	// Framing is the header line with the length or the transfer encoding of the body.
	Framing string
	// LastEvent is the last event that a caller has of a stream that it takes up, and Resumes the ID of the try that brought the first one.
	LastEvent int
	Resumes   string
}

// String returns the encoded head.
func (h RequestHead) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", h.Path, Host, HeaderRequestID, h.ID)
	if h.Deadline > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", headerDeadline, h.Deadline.Milliseconds())
	}
	if h.Adapter != "" {
		fmt.Fprintf(&b, "%s: %s/%s\r\n%s: %s\r\n", headerModel, Model, h.Adapter, headerTokens, defaultTokens)
	}
	if h.LastEvent > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n%s: %s\r\n", headerLastEvent, h.LastEvent, headerResumes, h.Resumes)
	}
	b.WriteString(h.Framing + "\r\n\r\n")
	return b.String()
}

// Names and default values of the headers that callers send.
const (
	headerDeadline  = "X-Deadline-Ms"
	headerModel     = "X-Model"
	headerTokens    = "X-Token-Usage"
	headerLastEvent = "Last-Event-Id"
	headerResumes   = "Resumes"
	defaultTokens   = "100,20"
	defaultDeadline = "5000"
)

// NamedVersion returns the key and the value that an operator writes to the store to name a version of an adapter.
func NamedVersion(adapter string, version int) (key string, value map[string]any) {
	return "op/version/" + Model + "." + adapter, map[string]any{"model": Model, "adapter": adapter, "version": version}
}

// Event returns the encoding of one event of a worker's stream.
func Event(number int, id, adapter string) string {
	return fmt.Sprintf("id: %d\ndata: %s.%s.%d\n\n", number, id, adapter, number)
}

// PaddedEvent returns an event like Event does, with a comment of padding bytes before it.
func PaddedEvent(number int, id, adapter string, padding int) string {
	if padding <= 0 {
		return Event(number, id, adapter)
	}
	return ": " + strings.Repeat("x", padding) + "\n" + Event(number, id, adapter)
}

// HalfEvent returns the begin of an event after which a worker breaks a stream off.
func HalfEvent(number int) string {
	return fmt.Sprintf("id: %d\ndata: half", number)
}

// RunCounts returns how often each request ran at the given workers, by request ID.
func RunCounts(workers ...*Worker) map[string]int {
	counts := make(map[string]int)
	for _, worker := range workers {
		for _, run := range worker.Runs() {
			counts[run.ID]++
		}
	}
	return counts
}
