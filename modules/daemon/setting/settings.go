// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "os"

// Settings holds all settings of a daemon.
type Settings struct {
	Instance  Instance   `json:"instance"`
	Listen    Listen     `json:"listen"`
	Halls     []string   `json:"halls"`
	Seeds     []Seed     `json:"seeds"`
	Endpoints []Endpoint `json:"endpoints"`
	Classes   []Class    `json:"classes"`
	KV        KV         `json:"kv"`
	Platform  Platform   `json:"platform"`
	Store     Store      `json:"weight_store"`
	Limits    Limits     `json:"limits"`
	Decision  Decision   `json:"decision"`
	Timing    Timing     `json:"timing"`
	Operators Operators  `json:"operators"`
	Log       Log        `json:"log"`
	Metrics   Metrics    `json:"metrics"`
}

// Load reads and validates a settings file. The error contains all problems found.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrInvalidSettings{File: file, Problems: []Problem{{Line: 1, Name: "file", Reason: err.Error()}}}
	}
	return Parse(file, raw)
}

// Parse parses and validates the text of a settings file; file is its name in the error.
func Parse(file string, raw []byte) (*Settings, error) {
	s := defaults()
	d := decode(raw, s)
	if len(d.problems) == 0 || s.Instance.ID != "" {
		s.check(d)
	}
	if len(d.problems) > 0 {
		return nil, ErrInvalidSettings{File: file, Problems: d.problems}
	}
	return s, nil
}

// defaults returns the default values of all settings.
//
//nolint:mnd // The fields name the numbers.
func defaults() *Settings {
	return &Settings{
		KV:        defaultKV(),
		Platform:  defaultPlatform(),
		Limits:    defaultLimits(),
		Decision:  defaultDecision(),
		Timing:    defaultTiming(),
		Log:       defaultLog(),
		Metrics:   defaultMetrics(),
		Store:     Store{LoadsPerSecond: 3, AtFullSpeed: 2},
		Operators: Operators{FailuresPerMinute: 20},
	}
}

func (s *Settings) check(d *document) {
	halls := make(map[string]bool)
	for _, h := range s.Halls {
		halls[h] = true
	}
	s.Instance.check(d, halls)
	s.Listen.check(d)
	s.checkSeeds(d, halls)
	s.checkEndpoints(d, halls)
	s.checkClasses(d)
	s.KV.check(d)
	s.Platform.check(d)
	s.Store.check(d)
	s.Limits.check(d)
	s.Decision.check(d)
	s.Timing.check(d)
	s.Operators.check(d)
	s.Log.check(d)
}
