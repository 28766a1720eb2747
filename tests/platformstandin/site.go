// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"fmt"
	"time"
)

// Protocol names that callers and operators of the example site use.
const (
	ConfigurationKey = "op/config"
	HeaderRequestID  = "X-Attempt-Id"
	HeaderSeal       = "X-Server-Seal"
	// HeaderParts lists the parts of a prompt as NAME:TOKENS, separated by commas.
	HeaderParts = "X-Prompt-Prefix"
)

// Names of the example site.
const (
	Host               = "site.example"
	ModelService       = "models"
	PlainService       = "plain"
	Model              = "base"
	StreamPrefix       = "/chat/"
	ResumePrefix       = "/digest/"
	LongDeadlinePrefix = "/report/"
	// PausePrefix and PauseResumePrefix are the prefixes of the routes that WithPausingRoutes adds.
	PausePrefix       = "/survey/"
	PauseResumePrefix = "/survey-digest/"

	UnsafePrefix  = "/hold/"
	SafePrefix    = "/status/"
	engineSlots   = 8
	engineMB      = 1000.0
	modelMB       = 900.0
	adapterMB     = 10.0
	siteCapacity  = 8
	siteAdapters  = 500
	storeLoadRate = 20.0
)

// Configuration returns the example configuration. The parameter more maps the prefixes of additional safe routes to services.
func Configuration(version int, more map[string]string) map[string]any {
	routes := []map[string]any{
		route("r-stream", StreamPrefix, "streaming", ModelService, 1, false),
		route("r-resume", ResumePrefix, "streaming", ModelService, 2, true),
		route("r-unsafe", UnsafePrefix, "unsafe", PlainService, 1, false),
		route("r-safe", SafePrefix, "safe", PlainService, 2, false),
	}
	for prefix, service := range more {
		routes = append(routes, route("r-"+prefix, prefix, "safe", service, 2, false))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": ModelService, "health_path": "/healthz", "max_connections": 200, "protocol": "h1", "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": 100000, "weights_mb": engineMB, "adapter_capacity": siteCapacity, "loads_per_s": storeLoadRate,
				"models": []map[string]any{{"name": Model, "weights_mb": modelMB, "load_time_s": 0.1, "adapters": siteAdapters, "adapter_mb": adapterMB}},
			}},
			{"name": PlainService, "health_path": "/healthz", "max_connections": 200, "protocol": "h1"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func route(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": Host, "path_prefix": prefix, "type": kind, "timeout_ms": 5000, "target_latency_ms": 800,
		"priority": 1, "service": service, "max_attempts": attempts, "resumable": resumable, "itl_target_ms": 250, "sticky": kind == "streaming",
	}
}

// WithLongDeadlineRoute adds a route to a configuration. Callers of the route wait for longer than requests may begin on a former version.
func WithLongDeadlineRoute(configuration map[string]any) map[string]any {
	patient := route("r-patient", LongDeadlinePrefix, "streaming", ModelService, 1, false)
	patient["timeout_ms"], patient["target_latency_ms"] = 15000, 3000
	configuration["routes"] = append(configuration["routes"].([]map[string]any), patient)
	return configuration
}

// WithMaxConnections sets in a configuration how many connections each worker accepts.
func WithMaxConnections(configuration map[string]any, limit int) map[string]any {
	for _, service := range configuration["services"].([]map[string]any) {
		service["max_connections"] = limit
	}
	return configuration
}

// WithLoadRate sets in a configuration how many loads a second the weight store allows.
func WithLoadRate(configuration map[string]any, perSecond float64) map[string]any {
	for _, service := range configuration["services"].([]map[string]any) {
		if engine, ok := service["engine"].(map[string]any); ok {
			engine["loads_per_s"] = perSecond
		}
	}
	return configuration
}

// WithPausingRoutes adds two routes to a configuration, one that may be resumed and one that may not. With the given timeout, the streams of
// the routes may pause for longer than callers usually wait at the target latency of the routes.
func WithPausingRoutes(configuration map[string]any, timeout time.Duration) map[string]any {
	once := route("r-survey", PausePrefix, "streaming", ModelService, 1, false)
	resumable := route("r-survey-digest", PauseResumePrefix, "streaming", ModelService, 2, true)
	once["timeout_ms"], resumable["timeout_ms"] = timeout.Milliseconds(), timeout.Milliseconds()
	configuration["routes"] = append(configuration["routes"].([]map[string]any), once, resumable)
	return configuration
}

// Settings returns the settings of one entry process.
func Settings(name, zone, ip string, ports Ports, seeds []string, store string) map[string]any {
	return map[string]any{
		"node_name": name, "zone": zone, "ip": ip, "role": "entry", "serves": []string{"edge"},
		"listen": map[string]any{
			"frontend": fmt.Sprintf("%s:%d", ip, ports.Callers), "ready": fmt.Sprintf("%s:%d", ip, ports.Ready),
		},
		"internal_ports": []uint16{ports.Peers, ports.Peers + 1}, "seeds": seeds,
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8.0, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra_retries": 54,
			"lease_ms": 3000, "ceiling_window_s": 5, "origin_rate_cap": 1.1, "version_ms": 5000,
		},
		"platform": map[string]any{"address": store, "form": "kv"},
	}
}

// Ports are the ports of an entry process. All processes of a site use the same ports, each on its own IP.
type Ports struct {
	Callers, Ready, Peers, Metrics uint16
}
