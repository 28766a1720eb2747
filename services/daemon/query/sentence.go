// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"fmt"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/table"
)

// eventRow is one row of the events table.
type eventRow struct {
	at, instance, kind, request, adapter, endpoint, pool, other, cause string

	fence, revision, value float64
}

// newEventRow reads the cells of a row of the events table.
func newEventRow(t *table.Table, row []table.Value) eventRow {
	get := func(name string) table.Value { return row[t.Index(name)] }
	return eventRow{
		at: get("at").Text, instance: get("instance").Text, kind: get("kind").Text, request: get("request").Text, adapter: get("adapter").Text,
		endpoint: get("endpoint").Text, pool: get("pool").Text, other: get("other").Text, cause: get("cause").Text,
		fence: get("fence").Number, revision: get("revision").Number, value: get("value").Number,
	}
}

// sentence returns a sentence that describes the event, with its time and instance.
func (v eventRow) sentence() string {
	timeOfDay := v.at
	if at, err := time.Parse(time.RFC3339Nano, v.at); err == nil {
		timeOfDay = at.Format("15:04:05.000")
	}
	return timeOfDay + " " + v.instance + ": " + v.description()
}

// description returns the sentence without the time and instance.
func (v eventRow) description() string {
	switch v.kind {
	case "queued":
		return fmt.Sprintf("request %s waits for %s, because %s.", v.request, v.adapter, v.cause)
	case "grant":
		return fmt.Sprintf("request %s got a place on %s with %s after %.3f s, under fence %.0f.", v.request, v.endpoint, v.adapter, v.value, v.fence)
	case "finished":
		return fmt.Sprintf("request %s ended on %s: %s.", v.request, v.endpoint, v.cause)
	case "refused":
		return fmt.Sprintf("request %s was refused and not run: %s.", v.request, strings.ReplaceAll(v.cause, "_", " "))
	case "retry":
		return fmt.Sprintf("request %s is tried again after %s: %s.", v.request, v.endpoint, v.cause)
	case "resume":
		return fmt.Sprintf("the stream of request %s from %s is resumed: %s.", v.request, v.endpoint, v.cause)
	case "load":
		return fmt.Sprintf("%s is being loaded on %s, because it is %s; the load is worth %.3f.", v.adapter, v.endpoint, "wanted: "+v.cause, v.value)
	case "loaded":
		return fmt.Sprintf("%s is loaded on %s.", v.adapter, v.endpoint)
	case "load_failed":
		return fmt.Sprintf("the load of %s on %s failed for the %.0f. time: %s.", v.adapter, v.endpoint, v.value, v.cause)
	case "evict":
		return fmt.Sprintf("%s gives up its slot on %s to %s: %s; it expected %.4f weighted calls a second.", v.adapter, v.endpoint, v.other, v.cause, v.value)
	case "takeover":
		return fmt.Sprintf("it took over pool %s under term %.0f: %s.", v.pool, v.fence, v.cause)
	}
	return strings.ReplaceAll(v.kind, "_", " ") + v.details() + ": " + v.cause + "."
}

// details lists the fields that are set, for events without a sentence of their own.
func (v eventRow) details() string {
	var b strings.Builder
	for _, part := range []struct{ name, value string }{
		{"pool", v.pool}, {"endpoint", v.endpoint}, {"adapter", v.adapter}, {"with", v.other}, {"request", v.request},
	} {
		if part.value != "" {
			b.WriteString(" " + part.name + " " + part.value)
		}
	}
	if v.revision > 0 {
		fmt.Fprintf(&b, " revision %.0f", v.revision)
	}
	return b.String()
}

// slotSentence returns a sentence that describes the current state of a slot, from a row of the slots table.
func slotSentence(t *table.Table, row []table.Value) string {
	get := func(name string) table.Value { return row[t.Index(name)] }
	return fmt.Sprintf("Now %s on %s is %s for %s s, with %s requests running, last used %s s ago; it expects %.4f weighted calls a second.",
		get("adapter"), get("endpoint"), get("state"), get("age"), get("running"), get("idle"), get("value").Number)
}
