// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/modules/setting"
)

// FleetFile is the fleet that a trace is replayed on.
type FleetFile struct {
	Halls       []HallEntry     `json:"halls"`
	Endpoints   []EndpointEntry `json:"endpoints"`
	WeightStore WeightStore     `json:"weight_store"`
	Classes     []ClassEntry    `json:"classes"`
}

// HallEntry is one hall with its instances.
type HallEntry struct {
	Name      string   `json:"name"`
	Instances []string `json:"instances"`
}

// EndpointEntry is one endpoint with its speed.
type EndpointEntry struct {
	Name               string   `json:"name"`
	Hall               string   `json:"hall"`
	Bases              []string `json:"bases"`
	Slots              int      `json:"slots"`
	MaxBatch           int      `json:"max_batch"`
	StepMS             float64  `json:"step_ms"`
	PrefillTokensPerMS float64  `json:"prefill_tokens_per_ms"`
	LoadMS             float64  `json:"load_ms"`
	ChecksFence        bool     `json:"checks_fence"`
}

// WeightStore is the rate of the store that all loads come from.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	AtFullSpeed    int     `json:"at_full_speed"`
}

// ClassEntry is one service class.
type ClassEntry struct {
	Name        string  `json:"name"`
	Priority    int     `json:"priority"`
	StallWeight float64 `json:"stall_weight"`
}

// ErrBadFile reports a malformed fleet or trace file with its line and field.
type ErrBadFile struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error gives file, line, field and reason.
func (e ErrBadFile) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: field %q: %s", e.File, e.Line, e.Field, e.Reason)
}

const (
	// patientPriority is the highest priority of classes whose work may be held back.
	patientPriority = 2
	// queueTokens bounds what waits in a class, in tokens; so many that a trace's deadlines decide instead.
	queueTokens = 20_000_000
)

// ReadFleet reads and checks a fleet file, JSON with comments; its error is an ErrBadFile.
func ReadFleet(file string) (*FleetFile, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrBadFile{File: file, Reason: err.Error()}
	}
	f := &FleetFile{}
	if err := setting.Decode(file, raw, f, f.check); err != nil {
		return nil, badFile(file, 1, err)
	}
	return f, nil
}

// badFile gives the first problem that the decoder found in a text that begins at a line of a file.
func badFile(file string, line int, err error) error {
	var bad setting.ErrBadSettings
	if !errors.As(err, &bad) {
		return ErrBadFile{File: file, Line: line, Reason: err.Error()}
	}
	p := bad.Problems[0]
	return ErrBadFile{File: file, Line: line + p.Line - 1, Field: p.Name, Reason: p.Reason}
}

func (f *FleetFile) check(add func(name, format string, args ...any)) {
	require := func(ok bool, name, rule string) {
		if !ok {
			add(name, "%s", rule)
		}
	}
	halls, endpoints := make(map[string]bool), make(map[string]bool)
	for i, h := range f.Halls {
		require(h.Name != "" && !halls[h.Name], fmt.Sprintf("halls[%d].name", i), "missing or given twice")
		halls[h.Name] = true
	}
	for i, e := range f.Endpoints {
		at := fmt.Sprintf("endpoints[%d].", i)
		require(e.Name != "" && !endpoints[e.Name], at+"name", "missing or given twice")
		endpoints[e.Name] = true
		require(halls[e.Hall], at+"hall", "no such hall")
		require(len(e.Bases) > 0, at+"bases", "must not be empty")
		require(e.Slots >= 1, at+"slots", "must be 1 or more")
		require(e.MaxBatch >= 1, at+"max_batch", "must be 1 or more")
		require(e.StepMS > 0, at+"step_ms", "must be above 0")
		require(e.PrefillTokensPerMS > 0, at+"prefill_tokens_per_ms", "must be above 0")
		require(e.LoadMS > 0, at+"load_ms", "must be above 0")
	}
	require(len(f.Halls) > 0, "halls", "must not be empty")
	require(len(f.Endpoints) > 0, "endpoints", "must not be empty")
	require(f.WeightStore.LoadsPerSecond > 0, "weight_store.loads_per_second", "must be above 0")
	require(f.WeightStore.AtFullSpeed >= 1, "weight_store.at_full_speed", "must be 1 or more")
	for i, c := range f.Classes {
		require(c.Name != "", fmt.Sprintf("classes[%d].name", i), "missing")
		require(c.StallWeight >= 0, fmt.Sprintf("classes[%d].stall_weight", i), "must be 0 or more")
	}
}

func (e EndpointEntry) spec() fleet.Endpoint {
	return fleet.Endpoint{
		Name: e.Name, Hall: e.Hall, Kind: fleet.KindEngine, Bases: e.Bases, Slots: e.Slots, MaxBatch: e.MaxBatch,
		Step: milliseconds(e.StepMS), Load: milliseconds(e.LoadMS), ChecksFence: e.ChecksFence,
	}
}

// productClasses gives the product's classes; low priority work counts as patient.
func (f *FleetFile) productClasses() []fleet.Class {
	out := make([]fleet.Class, 0, len(f.Classes))
	for _, c := range f.Classes {
		out = append(out, fleet.Class{
			Name: c.Name, Priority: c.Priority, StallWeight: c.StallWeight,
			Patient: c.Priority <= patientPriority, MaxQueuedTokens: queueTokens,
		})
	}
	return out
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
