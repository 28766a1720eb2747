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

// New makes a logger and sends go-zero's and gRPC's own logs to it.
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
	logx.SetLevel(zeroLevel(level))
	logx.SetWriter(&zeroWriter{entry: entry.WithField("library", "go-zero")})
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, &lineWriter{entry: entry.WithField("library", "grpc")}, &lineWriter{entry: entry.WithField("library", "grpc")}))
	return entry, nil
}

// zeroLevel keeps go-zero from making a line for each request that nobody reads.
func zeroLevel(level logrus.Level) uint32 {
	if level >= logrus.DebugLevel {
		return logx.DebugLevel
	}
	return logx.ErrorLevel
}

// lineWriter turns a library's lines into log entries.
type lineWriter struct {
	entry *logrus.Entry
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.entry.Debug(string(p))
	return len(p), nil
}

// zeroWriter takes go-zero's log.
type zeroWriter struct {
	entry *logrus.Entry
}

func (w *zeroWriter) with(fields []logx.LogField) *logrus.Entry {
	e := w.entry
	for _, f := range fields {
		e = e.WithField(f.Key, f.Value)
	}
	return e
}

// Alert implements logx.Writer.
func (w *zeroWriter) Alert(v any) { w.entry.Error(v) }

// Close implements logx.Writer.
func (w *zeroWriter) Close() error { return nil }

// Debug implements logx.Writer.
func (w *zeroWriter) Debug(v any, fields ...logx.LogField) { w.with(fields).Debug(v) }

// Error implements logx.Writer.
func (w *zeroWriter) Error(v any, fields ...logx.LogField) { w.with(fields).Error(v) }

// Info implements logx.Writer; go-zero's routine messages are of use only in debugging.
func (w *zeroWriter) Info(v any, fields ...logx.LogField) { w.with(fields).Debug(v) }

// Severe implements logx.Writer.
func (w *zeroWriter) Severe(v any) { w.entry.Error(v) }

// Slow implements logx.Writer.
func (w *zeroWriter) Slow(v any, fields ...logx.LogField) { w.with(fields).Debug(v) }

// Stack implements logx.Writer.
func (w *zeroWriter) Stack(v any) { w.entry.Error(v) }

// Stat implements logx.Writer.
func (w *zeroWriter) Stat(v any, fields ...logx.LogField) { w.with(fields).Debug(v) }
