// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unsafe"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/metric"
)

const ownPrefix = "shelfledge_"

// daemonMetrics gives the daemon's metrics, each used once so that a scrape has it.
func daemonMetrics(t *testing.T) string {
	t.Helper()
	metrics := metric.New(metric.Options{MaxCallers: 9, MaxClasses: 9})
	var registry *prometheus.Registry
	value := reflect.ValueOf(metrics).Elem()
	for i := range value.NumField() {
		field := value.Field(i)
		// Fields may be unexported: their names are no promise, so all are read alike.
		one := reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem().Interface()
		if found, ok := one.(*prometheus.Registry); ok {
			registry = found
			continue
		}
		if collector, ok := one.(prometheus.Collector); ok {
			use(t, collector)
		}
	}
	require.NotNil(t, registry)
	return gathered(t, registry)
}

var variableLabels = regexp.MustCompile(`variableLabels: \{([^}]*)\}`)

// use adds a sample to a metric with labels.
func use(t *testing.T, collector prometheus.Collector) {
	t.Helper()
	descriptions := make(chan *prometheus.Desc, 1)
	collector.Describe(descriptions)
	found := variableLabels.FindStringSubmatch((<-descriptions).String())
	require.NotNil(t, found)
	var values []string
	if found[1] != "" {
		values = slices.Repeat([]string{"x"}, 1+strings.Count(found[1], ","))
	}
	switch vector := collector.(type) {
	case *prometheus.CounterVec:
		vector.WithLabelValues(values...)
	case *prometheus.GaugeVec:
		vector.WithLabelValues(values...)
	case *prometheus.HistogramVec:
		vector.WithLabelValues(values...)
	}
}

func gathered(t *testing.T, registry *prometheus.Registry) string {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	var out strings.Builder
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), ownPrefix) {
			continue
		}
		sample := family.GetMetric()[0]
		fmt.Fprintf(&out, "%s\n  type: %s\n  help: %s\n", family.GetName(), family.GetType(), family.GetHelp())
		for _, label := range sample.GetLabel() {
			fmt.Fprintf(&out, "  label: %s\n", label.GetName())
		}
		if histogram := sample.GetHistogram(); histogram != nil {
			out.WriteString("  buckets:")
			for _, bucket := range histogram.GetBucket() {
				fmt.Fprintf(&out, " %g", bucket.GetUpperBound())
			}
			out.WriteString("\n")
		}
	}
	return out.String()
}

func TestMetrics(t *testing.T) {
	pin(t, "metrics/daemon.txt", daemonMetrics(t))
}

// TestAlertsAndBoardsNameMetrics holds that each name in an alert or a board is a metric's.
func TestAlertsAndBoardsNameMetrics(t *testing.T) {
	known := make(map[string]bool)
	for line := range strings.Lines(daemonMetrics(t)) {
		known[strings.TrimSpace(line)] = true
	}
	name := regexp.MustCompile(ownPrefix + `[a-z_]+`)
	suffix := regexp.MustCompile(`_(bucket|sum|count)$`)
	var out strings.Builder
	for _, file := range []string{"conf/alerts.yml", "conf/grafana.json"} {
		raw, err := os.ReadFile(filepath.Join(root, file))
		require.NoError(t, err)
		names := name.FindAllString(string(raw), -1)
		require.NotEmpty(t, names)
		slices.Sort(names)
		for _, one := range slices.Compact(names) {
			require.True(t, known[suffix.ReplaceAllString(one, "")], "%s names %s, which is no metric", file, one)
			fmt.Fprintf(&out, "%s: %s\n", file, one)
		}
	}
	pin(t, "metrics/named.txt", out.String())
}

var matcher = regexp.MustCompile(`=~?\\?"([a-z_|]+)\\?"`)

// TestAlertsMatchLabelValues holds that each label value that an alert or a board asks for is one that can come.
func TestAlertsMatchLabelValues(t *testing.T) {
	var known string
	for _, file := range []string{"log/events.txt", "log/reasons.txt", "log/outcomes.txt", "log/claims.txt", "daemon/samples.txt"} {
		known += read(t, file)
	}
	seen := 0
	for _, file := range []string{"conf/alerts.yml", "conf/grafana.json"} {
		raw, err := os.ReadFile(filepath.Join(root, file))
		require.NoError(t, err)
		for _, found := range matcher.FindAllStringSubmatch(string(raw), -1) {
			for value := range strings.SplitSeq(found[1], "|") {
				require.Regexp(t, `(?m)(^|")`+value+`("|$)`, known, "%s asks for a label value that never comes", file)
				seen++
			}
		}
	}
	require.Positive(t, seen)
}
