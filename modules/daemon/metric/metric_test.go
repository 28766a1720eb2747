// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
)

// observedMetrics returns metrics with at least one value for each name.
func observedMetrics() *metric.Metrics {
	m := metric.New(metric.Options{MaxCallers: 3, MaxClasses: 3})
	m.Observe(metric.Observation{
		Class: "kiosk", Caller: "c", Outcome: "answered", Ran: true, FirstToken: time.Second, TokenInterval: time.Millisecond,
	})
	m.Retries.WithLabelValues("not_run").Inc()
	m.Events.WithLabelValues("evict").Inc()
	m.Claims.WithLabelValues("claimed").Inc()
	m.OperatorLogins.WithLabelValues("ok").Inc()
	m.SetKVCalls(kv.Counts{})
	return m
}

func TestDashboardAndAlertsMatchMetrics(t *testing.T) {
	families, err := observedMetrics().Registry.Gather()
	require.NoError(t, err)
	known := make(map[string]bool)
	for _, f := range families {
		known[f.GetName()] = true
	}
	used := make(map[string]bool)
	for _, file := range []string{"../../../conf/grafana.json", "../../../conf/alerts.yml"} {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		names := regexp.MustCompile(`shelfledge_[a-z_]+`).FindAllString(string(raw), -1)
		require.NotEmpty(t, names, file)
		for _, name := range names {
			used[strings.TrimSuffix(name, "_bucket")] = true
		}
	}
	for name := range used {
		require.True(t, known[name], "%s does not exist", name)
	}
	for name := range known {
		if strings.HasPrefix(name, "shelfledge_") {
			require.True(t, used[name], "%s is in neither the dashboard nor the alerts", name)
		}
	}
}

func TestCallersAboveLimitShareOtherLabel(t *testing.T) {
	m := metric.New(metric.Options{MaxCallers: 2, MaxClasses: 2})
	for _, caller := range []string{"a", "b", "c", "d"} {
		m.Observe(metric.Observation{Class: "kiosk", Caller: caller, Outcome: "answered"})
	}
	families, err := m.Registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		if f.GetName() == "shelfledge_requests_total" {
			require.Len(t, f.GetMetric(), 3, "two callers, and the others as one")
		}
	}
}
