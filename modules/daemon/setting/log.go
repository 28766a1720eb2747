// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "github.com/sirupsen/logrus"

// Log holds the level and the format of the log.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

func defaultLog() Log {
	return Log{Level: "info", Format: "text"}
}

func (l Log) check(d *document) {
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		d.addProblem("log.level", "%q is not a level", l.Level)
	}
	if l.Format != "text" && l.Format != "json" {
		d.addProblem("log.format", "%q is neither text nor json", l.Format)
	}
}

// Metrics limits the number of label values.
type Metrics struct {
	MaxCallers int `json:"max_callers"`
	MaxClasses int `json:"max_classes"`
}

// defaultMetrics returns the defaults. Higher limits show more callers and classes by name, but make Prometheus store more series.
//
//nolint:mnd // The fields name the numbers.
func defaultMetrics() Metrics {
	return Metrics{MaxCallers: 100, MaxClasses: 20}
}
