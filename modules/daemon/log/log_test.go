// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"
	"google.golang.org/grpc/grpclog"

	"github.com/shelfledge/shelfledge/modules/daemon/log"
)

// newLogger returns a logger with the level, and a function that returns the lines written since its last call, decoded from JSON.
func newLogger(t *testing.T, level string) (entry *logrus.Entry, lines func() []map[string]any) {
	t.Helper()
	var out bytes.Buffer
	entry, err := log.New(log.Options{Level: level, Format: "json", Output: &out, Fields: logrus.Fields{"instance": "i1"}})
	require.NoError(t, err)
	return entry, func() []map[string]any {
		var all []map[string]any
		for decoder := json.NewDecoder(&out); decoder.More(); {
			var line map[string]any
			require.NoError(t, decoder.Decode(&line))
			all = append(all, line)
		}
		return all
	}
}

func TestLineContainsLoggerFields(t *testing.T) {
	entry, lines := newLogger(t, "info")
	entry.WithField("pool", "h1/x").Info("test message")
	entry.Debug("not at this level")
	got := lines()
	require.Len(t, got, 1)
	require.NotEmpty(t, got[0]["time"])
	delete(got[0], "time")
	require.Equal(t, map[string]any{"level": "info", "msg": "test message", "instance": "i1", "pool": "h1/x"}, got[0])
}

func TestUnknownLevelIsAnError(t *testing.T) {
	_, err := log.New(log.Options{Level: "loud", Output: &bytes.Buffer{}})
	require.ErrorContains(t, err, "loud")
}

func TestTextFormat(t *testing.T) {
	var out bytes.Buffer
	entry, err := log.New(log.Options{Level: "info", Format: "text", Output: &out})
	require.NoError(t, err)
	entry.Info("test message")
	require.Contains(t, out.String(), "msg=\"test message\"")
}

func TestLibraryLinesAreLoggedAtMappedLevel(t *testing.T) {
	for _, row := range []struct {
		name  string
		write func()
		level string
		debug bool
	}{
		{"go-zero info", func() { logx.Info("library message") }, "debug", true},
		{"go-zero slow call", func() { logx.Slow("library message") }, "debug", true},
		{"go-zero error", func() { logx.Error("library message") }, "error", false},
		{"go-zero severe error", func() { logx.Severe("library message") }, "error", false},
		{"gRPC warning", func() { grpclog.Warning("library message") }, "debug", true},
		{"gRPC info", func() { grpclog.Info("library message") }, "", true},
	} {
		for _, level := range []string{"info", "debug"} {
			_, lines := newLogger(t, level)
			row.write()
			got := lines()
			if row.level == "" || (row.debug && level != "debug") {
				require.Empty(t, got, "%s at %s", row.name, level)
				continue
			}
			require.NotEmpty(t, got, "%s at %s", row.name, level)
			for _, line := range got {
				require.Equal(t, row.level, line["level"], "%s at %s", row.name, level)
				require.NotEmpty(t, line["library"], "%s at %s", row.name, level)
				require.Contains(t, line["msg"], "library message", "%s at %s", row.name, level)
			}
		}
	}
}

func TestLibraryLineKeepsFields(t *testing.T) {
	_, lines := newLogger(t, "info")
	logx.Errorw("library message", logx.Field("path", "/here"))
	got := lines()
	require.Len(t, got, 1)
	require.Equal(t, "/here", got[0]["path"])
	require.Equal(t, "go-zero", got[0]["library"])
	require.Equal(t, "i1", got[0]["instance"])
}
