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

const metricPrefix = "shelfledge_"

// daemonMetrics returns the daemon's metrics as text. It adds a sample to each metric vector, since a scrape omits
// vectors without samples.
func daemonMetrics(t *testing.T) string {
	t.Helper()
	metrics := metric.New(metric.Options{MaxCallers: 9, MaxClasses: 9})
	var registry *prometheus.Registry
	value := reflect.ValueOf(metrics).Elem()
	for i := range value.NumField() {
		field := value.Field(i)
		// unsafe gives access to unexported fields too, so that the test does not depend on field names.
		fieldValue := reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem().Interface()
		if found, ok := fieldValue.(*prometheus.Registry); ok {
			registry = found
			continue
		}
		if collector, ok := fieldValue.(prometheus.Collector); ok {
			addSample(t, collector)
		}
	}
	require.NotNil(t, registry)
	return formatGathered(t, registry)
}

var variableLabelsPattern = regexp.MustCompile(`variableLabels: \{([^}]*)\}`)

// addSample adds a sample with placeholder label values to a metric vector.
func addSample(t *testing.T, collector prometheus.Collector) {
	t.Helper()
	descriptions := make(chan *prometheus.Desc, 1)
	collector.Describe(descriptions)
	found := variableLabelsPattern.FindStringSubmatch((<-descriptions).String())
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

func formatGathered(t *testing.T, registry *prometheus.Registry) string {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	var out strings.Builder
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), metricPrefix) {
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
	checkGolden(t, "metrics/daemon.txt", daemonMetrics(t))
}

// TestAlertsAndDashboardUseKnownMetrics checks that each metric name in the alerts and the dashboard exists.
func TestAlertsAndDashboardUseKnownMetrics(t *testing.T) {
	known := make(map[string]bool)
	for line := range strings.Lines(daemonMetrics(t)) {
		known[strings.TrimSpace(line)] = true
	}
	name := regexp.MustCompile(metricPrefix + `[a-z_]+`)
	suffix := regexp.MustCompile(`_(bucket|sum|count)$`)
	var out strings.Builder
	for _, file := range []string{"conf/alerts.yml", "conf/grafana.json"} {
		raw, err := os.ReadFile(filepath.Join(root, file))
		require.NoError(t, err)
		names := name.FindAllString(string(raw), -1)
		require.NotEmpty(t, names)
		slices.Sort(names)
		for _, metricName := range slices.Compact(names) {
			require.True(t, known[suffix.ReplaceAllString(metricName, "")], "%s refers to unknown metric %s", file, metricName)
			fmt.Fprintf(&out, "%s: %s\n", file, metricName)
		}
	}
	checkGolden(t, "metrics/named.txt", out.String())
}

var labelMatcherPattern = regexp.MustCompile(`=~?\\?"([a-z_|]+)\\?"`)

// TestAlertsMatchLabelValues checks that the programs can set each label value that the alerts and the dashboard select.
func TestAlertsMatchLabelValues(t *testing.T) {
	var known string
	for _, file := range []string{"log/events.txt", "log/reasons.txt", "log/outcomes.txt", "log/claims.txt", "daemon/samples.txt"} {
		known += readTestdata(t, file)
	}
	seen := 0
	for _, file := range []string{"conf/alerts.yml", "conf/grafana.json"} {
		raw, err := os.ReadFile(filepath.Join(root, file))
		require.NoError(t, err)
		for _, found := range labelMatcherPattern.FindAllStringSubmatch(string(raw), -1) {
			for value := range strings.SplitSeq(found[1], "|") {
				require.Regexp(t, `(?m)(^|")`+value+`("|$)`, known, "%s selects a label value that is never set", file)
				seen++
			}
		}
	}
	require.Positive(t, seen)
}
