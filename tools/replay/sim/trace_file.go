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

// EventName names a kind of change to the fleet in a trace.
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

// maxLineBytes is the maximum length of a line of a trace.
const maxLineBytes = 1 << 20

// ReadTrace reads a trace of JSON lines and validates it against the fleet.
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
		c.lineNumber++
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
		return nil, ErrBadFile{File: file, Line: c.lineNumber + 1, Reason: err.Error()}
	}
	return lines, nil
}

// traceChecker validates the lines of a trace one after the other.
type traceChecker struct {
	file       string
	lineNumber int
	lastAtMS   float64
	ids        map[string]bool
	// known holds the names that exist in the fleet, by the field that refers to them.
	known map[string]map[string]bool
}

func newTraceChecker(file string, f *FleetFile) *traceChecker {
	known := map[string]map[string]bool{"hall": {}, "instance": {}, "endpoint": {}, "base": {}, "class": {}}
	for _, h := range f.Halls {
		known["hall"][h.Name] = true
		for _, i := range h.Instances {
			known["instance"][i] = true
		}
	}
	for _, e := range f.Endpoints {
		known["endpoint"][e.Name] = true
		for _, b := range e.Bases {
			known["base"][b] = true
		}
	}
	for _, class := range f.Classes {
		known["class"][class.Name] = true
	}
	return &traceChecker{file: file, ids: make(map[string]bool), known: known}
}

func (c *traceChecker) fieldError(field, reason string, args ...any) error {
	return ErrBadFile{File: c.file, Line: c.lineNumber, Field: field, Reason: fmt.Sprintf(reason, args...)}
}

func (c *traceChecker) parse(text string) (Line, error) {
	var line Line
	if err := decodeStrict([]byte(text), &line); err != nil {
		_, field := locateError([]byte(text), err)
		var typed *json.UnmarshalTypeError
		if errors.As(err, &typed) {
			return line, c.fieldError(field, "unexpected JSON value: %s", typed.Value)
		}
		return line, c.fieldError(field, "%s", err)
	}
	if line.AtMS < c.lastAtMS {
		return line, c.fieldError("at_ms", "%g is less than %g in the previous line", line.AtMS, c.lastAtMS)
	}
	c.lastAtMS = line.AtMS
	if line.Event != "" {
		return line, c.checkEvent(line)
	}
	return line, c.checkRequest(line)
}

func (c *traceChecker) checkRequest(l Line) error {
	switch {
	case l.ID == "":
		return c.fieldError("id", "missing")
	case c.ids[l.ID]:
		return c.fieldError("id", "%q is used more than once", l.ID)
	case !c.known["hall"][l.Hall]:
		return c.fieldError("hall", "no hall %q in the fleet", l.Hall)
	case !c.known["base"][l.Base]:
		return c.fieldError("base", "no endpoint runs %q", l.Base)
	case !c.known["class"][l.Class]:
		return c.fieldError("class", "no class %q in the fleet", l.Class)
	case l.Adapter == "":
		return c.fieldError("adapter", "missing")
	case l.Version < 1:
		return c.fieldError("version", "must be 1 or more")
	case l.PromptTokens < 0:
		return c.fieldError("prompt_tokens", "must be 0 or more")
	case l.OutputTokens < 1:
		return c.fieldError("output_tokens", "must be 1 or more")
	case l.DeadlineMS < 0:
		return c.fieldError("deadline_ms", "must be 0 or more")
	}
	c.ids[l.ID] = true
	return nil
}

func (c *traceChecker) checkEvent(l Line) error {
	// The field that an event uses to refer to a part of the fleet, and its value.
	references := map[EventName][2]string{
		EndpointRestart: {"endpoint", l.Endpoint}, EndpointLeaving: {"endpoint", l.Endpoint}, LoadFails: {"endpoint", l.Endpoint},
		HallCut: {"hall", l.Hall}, InstanceLost: {"instance", l.Instance}, StoreRate: {}, KVDown: {},
	}
	reference, known := references[l.Event]
	hasEnd := l.Event == StoreRate || l.Event == HallCut || l.Event == KVDown
	switch {
	case !known:
		return c.fieldError("event", "unknown event %q", l.Event)
	case reference[0] != "" && !c.known[reference[0]][reference[1]]:
		return c.fieldError(reference[0], "no %s %q in the fleet", reference[0], reference[1])
	case l.Event == LoadFails && l.Count < 1:
		return c.fieldError("count", "must be 1 or more")
	case l.Event == StoreRate && l.Rate <= 0:
		return c.fieldError("rate_per_second", "must be above 0")
	case hasEnd && l.UntilMS <= l.AtMS:
		return c.fieldError("until_ms", "must be after at_ms")
	}
	return nil
}
