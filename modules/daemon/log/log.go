// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
	"google.golang.org/grpc/grpclog"
)

// Options are the settings of the log.
type Options struct {
	Level  string
	Format string
	Output io.Writer
	Fields logrus.Fields
}

// New returns a logger and redirects the logs of go-zero and gRPC to it.
func New(o Options) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetOutput(o.Output)
	if o.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	entry := logger.WithFields(o.Fields)
	logx.DisableStat()
	logx.SetLevel(goZeroLevel(level))
	logx.SetWriter(&goZeroWriter{entry: entry.WithField("library", "go-zero")})
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, &debugWriter{entry: entry.WithField("library", "grpc")}, &debugWriter{entry: entry.WithField("library", "grpc")}))
	return entry, nil
}

// goZeroLevel returns go-zero's log level for a level of logrus. Unless the level is debug or trace, go-zero logs only errors: it would
// otherwise build a log line for each request that is discarded.
func goZeroLevel(level logrus.Level) uint32 {
	if level >= logrus.DebugLevel {
		return logx.DebugLevel
	}
	return logx.ErrorLevel
}

// debugWriter writes the log lines of a library as debug entries.
type debugWriter struct {
	entry *logrus.Entry
}

// Write implements io.Writer.
func (w *debugWriter) Write(p []byte) (int, error) {
	w.entry.Debug(string(p))
	return len(p), nil
}

// goZeroWriter writes the log lines of go-zero.
type goZeroWriter struct {
	entry *logrus.Entry
}

func (w *goZeroWriter) withFields(fields []logx.LogField) *logrus.Entry {
	e := w.entry
	for _, f := range fields {
		e = e.WithField(f.Key, f.Value)
	}
	return e
}

// Alert implements logx.Writer.
func (w *goZeroWriter) Alert(v any) { w.entry.Error(v) }

// Close implements logx.Writer.
func (w *goZeroWriter) Close() error { return nil }

// Debug implements logx.Writer.
func (w *goZeroWriter) Debug(v any, fields ...logx.LogField) { w.withFields(fields).Debug(v) }

// Error implements logx.Writer.
func (w *goZeroWriter) Error(v any, fields ...logx.LogField) { w.withFields(fields).Error(v) }

// Info implements logx.Writer. It logs at debug level, since go-zero's routine messages are useful only for debugging.
func (w *goZeroWriter) Info(v any, fields ...logx.LogField) { w.withFields(fields).Debug(v) }

// Severe implements logx.Writer.
func (w *goZeroWriter) Severe(v any) { w.entry.Error(v) }

// Slow implements logx.Writer.
func (w *goZeroWriter) Slow(v any, fields ...logx.LogField) { w.withFields(fields).Debug(v) }

// Stack implements logx.Writer.
func (w *goZeroWriter) Stack(v any) { w.entry.Error(v) }

// Stat implements logx.Writer.
func (w *goZeroWriter) Stat(v any, fields ...logx.LogField) { w.withFields(fields).Debug(v) }
