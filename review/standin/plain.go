//go:build review

package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// PlainOptions describe one server of a plain service.
type PlainOptions struct {
	ID, Service, Zone string
	Slots             int
	// Work is how long a request runs.
	Work time.Duration
	Put  func(key string, value any)
	// Arrived is called for each request that arrives, Ran for each that begins to run.
	Arrived, Ran func(id string, at time.Time)
}

// Plain is a server of a plain service.
type Plain struct {
	options  PlainOptions
	server   *http.Server
	listener net.Listener
	mutex    sync.Mutex
	running  int
	state    string
}

// NewPlain starts a server on a free port of a loopback address and writes its entry into the store.
func NewPlain(ip string, options PlainOptions) (*Plain, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Plain{options: options, listener: listener, state: "ready"}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	p.describe()
	return p, nil
}

// ID returns the instance id of the server.
func (p *Plain) ID() string { return p.options.ID }

// Close ends the server.
func (p *Plain) Close() { _ = p.server.Close() }

// Drain tells the store that the server leaves, and returns when the store has taken that.
func (p *Plain) Drain() time.Time {
	p.mutex.Lock()
	p.state = "draining"
	p.mutex.Unlock()
	p.describe()
	return time.Now()
}

func (p *Plain) describe() {
	p.options.Put("servers/"+p.options.ID, map[string]any{
		"service": p.options.Service, "address": p.listener.Addr().String(), "zone": p.options.Zone, "version": "1",
		"slots": p.options.Slots, "state": p.state, "cold_remaining_ms": 0, "sequence": 0,
	})
}

// ServeHTTP runs a request.
func (p *Plain) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != p.options.ID {
		writer.Header().Set("X-Instance-Id", p.options.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/-/report" || request.URL.Path == "/healthz" {
		writer.Header().Set("X-Instance-Id", p.options.ID)
		_, _ = io.WriteString(writer, "{}")
		return
	}
	now := time.Now()
	if p.options.Arrived != nil {
		p.options.Arrived(id, now)
	}
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("X-Attempt-Id", id)
	p.mutex.Lock()
	full := p.running >= p.options.Slots*5
	if !full {
		p.running++
	}
	p.mutex.Unlock()
	if full || id == "" {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusServiceUnavailable}[id == ""])
		return
	}
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.running--
	}()
	if p.options.Ran != nil {
		p.options.Ran(id, now)
	}
	time.Sleep(p.options.Work)
	writer.Header().Set("X-Server-Seal", p.options.ID+"."+id)
	_, _ = fmt.Fprintf(writer, "%s answers %s", p.options.ID, id)
}
