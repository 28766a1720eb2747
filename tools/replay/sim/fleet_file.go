// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// FleetFile describes the fleet on which a trace is replayed.
type FleetFile struct {
	Halls       []HallEntry     `json:"halls"`
	Endpoints   []EndpointEntry `json:"endpoints"`
	WeightStore WeightStore     `json:"weight_store"`
	Classes     []ClassEntry    `json:"classes"`
}

// HallEntry describes a hall and its instances.
type HallEntry struct {
	Name      string   `json:"name"`
	Instances []string `json:"instances"`
}

// EndpointEntry describes an endpoint and its speed.
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

// WeightStore describes the store from which all adapters are loaded.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	AtFullSpeed    int     `json:"at_full_speed"`
}

// ClassEntry describes a service class.
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

// Error returns a message with file, line, field and reason.
func (e ErrBadFile) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: field %q: %s", e.File, e.Line, e.Field, e.Reason)
}

// maxPatientPriority is the highest priority of a class whose requests may be delayed.
const maxPatientPriority = 2

// ReadFleet reads and validates a fleet file in JSON with comments.
func ReadFleet(file string) (*FleetFile, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrBadFile{File: file, Reason: err.Error()}
	}
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, ErrBadFile{File: file, Line: lineInMessage(err.Error()), Reason: err.Error()}
	}
	f := &FleetFile{}
	if err := decodeStrict(plain, f); err != nil {
		line, field := locateError(plain, err)
		return nil, ErrBadFile{File: file, Line: line, Field: field, Reason: err.Error()}
	}
	if err := f.validate(file, plain); err != nil {
		return nil, err
	}
	return f, nil
}

func decodeStrict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// lineInMessage returns the line number in an error message of hujson, or 1 if there is none.
func lineInMessage(message string) int {
	var line int
	if at := strings.Index(message, "line "); at >= 0 {
		_, _ = fmt.Sscanf(message[at:], "line %d", &line)
	}
	return max(1, line)
}

// locateError returns the line and the field of a decoding error.
func locateError(raw []byte, err error) (int, string) {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		return lineOfOffset(raw, int(typed.Offset)), typed.Field
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return lineOfOffset(raw, int(syntax.Offset)), ""
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return lineOfText(raw, `"`+name+`"`), name
	}
	return lineOfOffset(raw, len(raw)), ""
}

func lineOfOffset(raw []byte, offset int) int {
	return 1 + bytes.Count(raw[:min(offset, len(raw))], []byte("\n"))
}

func lineOfText(raw []byte, text string) int {
	return lineOfOffset(raw, max(0, bytes.Index(raw, []byte(text))))
}

func (f *FleetFile) validate(file string, raw []byte) error {
	fileError := func(nearText, field, reason string) error {
		return ErrBadFile{File: file, Line: lineOfText(raw, `"`+nearText+`"`), Field: field, Reason: reason}
	}
	halls := make(map[string]bool)
	for _, h := range f.Halls {
		if h.Name == "" || halls[h.Name] {
			return fileError("halls", "halls.name", "missing or given twice")
		}
		halls[h.Name] = true
	}
	seen := make(map[string]bool)
	for _, e := range f.Endpoints {
		field, reason := e.firstProblem(halls, seen)
		if field != "" {
			return fileError(e.Name, "endpoints."+field, reason)
		}
		seen[e.Name] = true
	}
	if len(f.Halls) == 0 || len(f.Endpoints) == 0 {
		return fileError("halls", "endpoints", "a fleet needs halls and endpoints")
	}
	if f.WeightStore.LoadsPerSecond <= 0 || f.WeightStore.AtFullSpeed < 1 {
		return fileError("weight_store", "weight_store", "needs loads_per_second above 0 and at_full_speed of 1 or more")
	}
	for _, c := range f.Classes {
		if c.Name == "" || c.StallWeight < 0 {
			return fileError("classes", "classes", "a class needs a name and a stall_weight of 0 or more")
		}
	}
	return nil
}

func (e EndpointEntry) firstProblem(halls, seen map[string]bool) (string, string) {
	switch {
	case e.Name == "" || seen[e.Name]:
		return "name", "missing or given twice"
	case !halls[e.Hall]:
		return "hall", fmt.Sprintf("no hall %q", e.Hall)
	case len(e.Bases) == 0:
		return "bases", "must not be empty"
	case e.Slots < 1:
		return "slots", "must be 1 or more"
	case e.MaxBatch < 1:
		return "max_batch", "must be 1 or more"
	case e.StepMS <= 0:
		return "step_ms", "must be above 0"
	case e.PrefillTokensPerMS <= 0:
		return "prefill_tokens_per_ms", "must be above 0"
	case e.LoadMS <= 0:
		return "load_ms", "must be above 0"
	}
	return "", ""
}

func (e EndpointEntry) endpoint() fleet.Endpoint {
	return fleet.Endpoint{
		Name: e.Name, Hall: e.Hall, Kind: fleet.KindEngine, Bases: e.Bases, Slots: e.Slots, MaxBatch: e.MaxBatch,
		Step: milliseconds(e.StepMS), Load: milliseconds(e.LoadMS), ChecksFence: e.ChecksFence,
	}
}

// productClasses returns the classes in the product's form; classes of low priority are patient.
func (f *FleetFile) productClasses() []fleet.Class {
	out := make([]fleet.Class, 0, len(f.Classes))
	for _, c := range f.Classes {
		out = append(out, fleet.Class{
			Name: c.Name, Priority: c.Priority, StallWeight: c.StallWeight,
			Patient: c.Priority <= maxPatientPriority, MaxQueuedTokens: replayQueueTokens,
		})
	}
	return out
}

// replayQueueTokens is the queue limit of each class, in tokens.
const replayQueueTokens = 20_000_000

// stallWeights returns the stall weight of each class.
func (f *FleetFile) stallWeights() map[string]float64 {
	weights := make(map[string]float64)
	for _, c := range f.Classes {
		weights[c.Name] = c.StallWeight
	}
	return weights
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
