// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
)

// EventName names what happens to the fleet in a trace.
type EventName string

// The events of a trace.
const (
	EndpointRestart EventName = "endpoint_restart"
	EndpointLeaving EventName = "endpoint_leaving"
	LoadFails       EventName = "load_fails"
	StoreRate       EventName = "weight_store"
	HallCut         EventName = "hall_cut"
	KVDown          EventName = "kv_down"
	InstanceLost    EventName = "instance_lost"
)

// Line is one line of a trace: a request, or an event if Event is set.
type Line struct {
	AtMS         float64   `json:"at_ms"`
	ID           string    `json:"id,omitempty"`
	Caller       string    `json:"caller,omitempty"`
	Class        string    `json:"class,omitempty"`
	Hall         string    `json:"hall,omitempty"`
	Base         string    `json:"base,omitempty"`
	Adapter      string    `json:"adapter,omitempty"`
	Version      int       `json:"version,omitempty"`
	PromptTokens int       `json:"prompt_tokens,omitempty"`
	OutputTokens int       `json:"output_tokens,omitempty"`
	Once         bool      `json:"once,omitempty"`
	DeadlineMS   float64   `json:"deadline_ms,omitempty"`
	Event        EventName `json:"event,omitempty"`
	Endpoint     string    `json:"endpoint,omitempty"`
	Count        int       `json:"count,omitempty"`
	Rate         float64   `json:"rate_per_second,omitempty"`
	UntilMS      float64   `json:"until_ms,omitempty"`
	Instance     string    `json:"instance,omitempty"`
}

const maxLineBytes = 1 << 20

// ReadTrace reads a trace of JSON lines and checks it against the fleet.
func ReadTrace(file string, f *FleetFile) ([]Line, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, ErrBadFile{File: file, Reason: err.Error()}
	}
	defer func() { _ = in.Close() }()
	c := newTraceChecker(file, f)
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		c.number++
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			continue
		}
		line, err := c.parse(text)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, ErrBadFile{File: file, Line: c.number + 1, Reason: err.Error()}
	}
	return lines, nil
}

// traceChecker checks the lines of one trace as they come.
type traceChecker struct {
	file      string
	number    int
	last      float64
	ids       map[string]bool
	halls     map[string]bool
	bases     map[string]bool
	classes   map[string]bool
	endpoints map[string]bool
	instances map[string]bool
}

func newTraceChecker(file string, f *FleetFile) *traceChecker {
	c := &traceChecker{
		file: file, ids: make(map[string]bool), halls: make(map[string]bool), bases: make(map[string]bool),
		classes: make(map[string]bool), endpoints: make(map[string]bool), instances: make(map[string]bool),
	}
	for _, h := range f.Halls {
		c.halls[h.Name] = true
		for _, i := range h.Instances {
			c.instances[i] = true
		}
	}
	for _, e := range f.Endpoints {
		c.endpoints[e.Name] = true
		for _, b := range e.Bases {
			c.bases[b] = true
		}
	}
	for _, cl := range f.Classes {
		c.classes[cl.Name] = true
	}
	return c
}

func (c *traceChecker) bad(field, reason string, args ...any) error {
	return ErrBadFile{File: c.file, Line: c.number, Field: field, Reason: fmt.Sprintf(reason, args...)}
}

func (c *traceChecker) parse(text string) (Line, error) {
	var line Line
	if err := decodeStrict([]byte(text), &line); err != nil {
		_, field := locate([]byte(text), err)
		var typed *json.UnmarshalTypeError
		if errors.As(err, &typed) {
			return line, c.bad(field, "a %s does not fit here", typed.Value)
		}
		return line, c.bad(field, "%s", err)
	}
	if line.AtMS < c.last {
		return line, c.bad("at_ms", "%g is before the line above, %g", line.AtMS, c.last)
	}
	c.last = line.AtMS
	if line.Event != "" {
		return line, c.checkEvent(line)
	}
	return line, c.checkRequest(line)
}

func (c *traceChecker) checkRequest(l Line) error {
	switch {
	case l.ID == "":
		return c.bad("id", "missing")
	case c.ids[l.ID]:
		return c.bad("id", "%q stands twice", l.ID)
	case !c.halls[l.Hall]:
		return c.bad("hall", "no hall %q in the fleet", l.Hall)
	case !c.bases[l.Base]:
		return c.bad("base", "no endpoint runs %q", l.Base)
	case !c.classes[l.Class]:
		return c.bad("class", "no class %q in the fleet", l.Class)
	case l.Adapter == "":
		return c.bad("adapter", "missing")
	case l.Version < 1:
		return c.bad("version", "must be 1 or more")
	case l.PromptTokens < 0:
		return c.bad("prompt_tokens", "must be 0 or more")
	case l.OutputTokens < 1:
		return c.bad("output_tokens", "must be 1 or more")
	case l.DeadlineMS < 0:
		return c.bad("deadline_ms", "must be 0 or more")
	}
	c.ids[l.ID] = true
	return nil
}

func (c *traceChecker) checkEvent(l Line) error {
	switch l.Event {
	case EndpointRestart, EndpointLeaving, LoadFails:
		if !c.endpoints[l.Endpoint] {
			return c.bad("endpoint", "no endpoint %q in the fleet", l.Endpoint)
		}
		if l.Event == LoadFails && l.Count < 1 {
			return c.bad("count", "must be 1 or more")
		}
		return nil
	case StoreRate:
		if l.Rate <= 0 {
			return c.bad("rate_per_second", "must be above 0")
		}
	case HallCut:
		if !c.halls[l.Hall] {
			return c.bad("hall", "no hall %q in the fleet", l.Hall)
		}
	case KVDown:
	case InstanceLost:
		if !c.instances[l.Instance] {
			return c.bad("instance", "no instance %q in the fleet", l.Instance)
		}
		return nil
	default:
		return c.bad("event", "unknown event %q", l.Event)
	}
	if l.UntilMS <= l.AtMS {
		return c.bad("until_ms", "must be after at_ms")
	}
	return nil
}
