// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/shelfledge/shelfledge/modules/setting"
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

// maxLineBytes bounds a line of a trace.
const maxLineBytes = 1 << 20

// ReadTrace reads a trace of JSON lines and checks it against the fleet; its error is an ErrBadFile.
func ReadTrace(file string, f *FleetFile) ([]Line, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, ErrBadFile{File: file, Reason: err.Error()}
	}
	defer func() { _ = in.Close() }()
	c := newTraceChecker(f)
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	number := 0
	for scanner.Scan() {
		number++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		var line Line
		if err := decodeLine(file, text, &line); err != nil {
			return nil, badFile(file, number, err)
		}
		if field, reason := c.problem(line); field != "" {
			return nil, ErrBadFile{File: file, Line: number, Field: field, Reason: reason}
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, ErrBadFile{File: file, Line: number + 1, Reason: err.Error()}
	}
	return lines, nil
}

// decodeLine reads one line; the product's decoder, which is slower, names the field of a bad one.
func decodeLine(file string, text []byte, line *Line) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(line)
	if err == nil && d.More() {
		err = errors.New("more than one value on a line")
	}
	if err == nil {
		return nil
	}
	if named := setting.Decode(file, text, &Line{}, func(func(string, string, ...any)) {}); named != nil {
		return named
	}
	return err
}

// traceChecker checks the lines of one trace as they come.
type traceChecker struct {
	last float64
	ids  map[string]bool
	// known holds the names of the fleet by the field that names them.
	known map[string]map[string]bool
}

func newTraceChecker(f *FleetFile) *traceChecker {
	c := &traceChecker{ids: make(map[string]bool), known: make(map[string]map[string]bool)}
	add := func(field string, names ...string) {
		if c.known[field] == nil {
			c.known[field] = make(map[string]bool)
		}
		for _, name := range names {
			c.known[field][name] = true
		}
	}
	for _, h := range f.Halls {
		add("hall", h.Name)
		add("instance", h.Instances...)
	}
	for _, e := range f.Endpoints {
		add("endpoint", e.Name)
		add("base", e.Bases...)
	}
	for _, one := range f.Classes {
		add("class", one.Name)
	}
	return c
}

// problem gives the field of a line that is wrong and why, or empty texts.
func (c *traceChecker) problem(l Line) (field, reason string) {
	if l.AtMS < c.last {
		return "at_ms", fmt.Sprintf("%g is before the line above, %g", l.AtMS, c.last)
	}
	c.last = l.AtMS
	if l.Event != "" {
		return c.eventProblem(l)
	}
	if c.ids[l.ID] {
		return "id", fmt.Sprintf("%q stands twice", l.ID)
	}
	c.ids[l.ID] = true
	for _, one := range []struct{ field, name string }{{"hall", l.Hall}, {"base", l.Base}, {"class", l.Class}} {
		if !c.known[one.field][one.name] {
			return one.field, fmt.Sprintf("the fleet has no %q", one.name)
		}
	}
	for _, one := range []struct {
		field string
		wrong bool
		rule  string
	}{
		{"id", l.ID == "", "missing"}, {"adapter", l.Adapter == "", "missing"}, {"version", l.Version < 1, "must be 1 or more"},
		{"prompt_tokens", l.PromptTokens < 0, "must be 0 or more"}, {"output_tokens", l.OutputTokens < 1, "must be 1 or more"},
		{"deadline_ms", l.DeadlineMS < 0, "must be 0 or more"},
	} {
		if one.wrong {
			return one.field, one.rule
		}
	}
	return "", ""
}

func (c *traceChecker) eventProblem(l Line) (field, reason string) {
	named := map[EventName]struct{ field, name string }{
		EndpointRestart: {"endpoint", l.Endpoint}, EndpointLeaving: {"endpoint", l.Endpoint}, LoadFails: {"endpoint", l.Endpoint},
		HallCut: {"hall", l.Hall}, InstanceLost: {"instance", l.Instance}, StoreRate: {}, KVDown: {},
	}
	one, ok := named[l.Event]
	lasts := l.Event == StoreRate || l.Event == HallCut || l.Event == KVDown
	switch {
	case !ok:
		return "event", fmt.Sprintf("unknown event %q", l.Event)
	case one.field != "" && !c.known[one.field][one.name]:
		return one.field, fmt.Sprintf("the fleet has no %q", one.name)
	case l.Event == LoadFails && l.Count < 1:
		return "count", "must be 1 or more"
	case l.Event == StoreRate && l.Rate <= 0:
		return "rate_per_second", "must be above 0"
	case lasts && l.UntilMS <= l.AtMS:
		return "until_ms", "must be after at_ms"
	}
	return "", ""
}
