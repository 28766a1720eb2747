// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// Explanation is an account in plain sentences.
type Explanation struct {
	Lines []string `json:"lines"`
	Parts []Part   `json:"parts"`
}

// Explain tells why something is as it is, from the events that were kept.
func (s *Service) Explain(ctx context.Context, e *language.Explain) (Explanation, error) {
	switch {
	case e.Request != nil:
		return s.explainEvents(ctx, "request "+e.Request.Text, func(v eventView) bool {
			return v.request == e.Request.Text || strings.HasPrefix(v.request, e.Request.Text+"~")
		})
	case e.Adapter != nil:
		return s.explainAdapter(ctx, e.Adapter.Text)
	case e.Slot != nil:
		return s.explainSlot(ctx, e.Slot)
	}
	return s.explainRevision(int64(*e.Revision))
}

// eventView is one event as the events table shows it.
type eventView struct {
	at, instance, kind, request, adapter, endpoint, pool, other, cause string

	fence, revision, value float64
}

func viewOf(t *table.Table, row []table.Value) eventView {
	get := func(name string) table.Value { return row[t.Index(name)] }
	return eventView{
		at: get("at").Text, instance: get("instance").Text, kind: get("kind").Text, request: get("request").Text, adapter: get("adapter").Text,
		endpoint: get("endpoint").Text, pool: get("pool").Text, other: get("other").Text, cause: get("cause").Text,
		fence: get("fence").Number, revision: get("revision").Number, value: get("value").Number,
	}
}

func (s *Service) explainEvents(ctx context.Context, what string, wanted func(eventView) bool) (Explanation, error) {
	t, parts, err := s.gather(ctx, "events")
	if err != nil {
		return Explanation{}, err
	}
	if err := order(&language.Show{Order: []*language.Order{{Column: "at"}}}, t); err != nil {
		return Explanation{}, err
	}
	out := Explanation{Parts: parts}
	for _, row := range t.Rows {
		if v := viewOf(t, row); wanted(v) {
			out.Lines = append(out.Lines, v.sentence())
		}
	}
	if len(out.Lines) == 0 {
		out.Lines = []string{"Nothing is known of " + what + ": no event of it is kept any more, or it never was."}
	}
	return out, nil
}

func (s *Service) explainAdapter(ctx context.Context, name string) (Explanation, error) {
	out, err := s.explainEvents(ctx, "adapter "+name, func(v eventView) bool { return names(v.adapter, name) || names(v.other, name) })
	if err != nil {
		return out, err
	}
	bare, _, _ := strings.Cut(name, "@")
	a := s.options.Catalog().Adapters[bare]
	if a == nil {
		out.Lines = append([]string{"The configuration in force has no adapter " + name + "."}, out.Lines...)
		return out, nil
	}
	line := fmt.Sprintf("Adapter %s runs on %s and has %d versions; version %d is live.", a.Name, a.Base, len(a.Versions), a.Live)
	out.Lines = append([]string{line}, out.Lines...)
	return out, nil
}

// names tells whether an event's adapter is the named one, at any version unless one is named.
func names(adapter, name string) bool {
	return adapter == name || strings.HasPrefix(adapter, name+"@")
}

func (s *Service) explainSlot(ctx context.Context, slot *language.Slot) (Explanation, error) {
	out, err := s.explainEvents(ctx, "slot "+slot.Endpoint+" "+slot.Adapter, func(v eventView) bool {
		if v.endpoint != slot.Endpoint {
			return false
		}
		if slot.Adapter == "" {
			return v.request == ""
		}
		return v.adapter == slot.Adapter || v.other == slot.Adapter
	})
	if err != nil {
		return out, err
	}
	t, _, err := s.gather(ctx, "slots")
	if err != nil {
		return out, err
	}
	for _, row := range t.Rows {
		if row[0].Text == slot.Endpoint && (slot.Adapter == "" || row[2].Text == slot.Adapter) {
			out.Lines = append(out.Lines, slotSentence(t, row))
		}
	}
	return out, nil
}

func slotSentence(t *table.Table, row []table.Value) string {
	get := func(name string) table.Value { return row[t.Index(name)] }
	return fmt.Sprintf("Now %s on %s is %s for %s s, with %s requests running, last used %s s ago; it expects %.4f weighted calls a second.",
		get("adapter"), get("endpoint"), get("state"), get("age"), get("running"), get("idle"), get("value").Number)
}

func (s *Service) explainRevision(revision int64) (Explanation, error) {
	var out Explanation
	s.options.View(func(now time.Time, n *node.Node) {
		for _, r := range n.Records() {
			if r.Revision == revision {
				out.Lines = append(out.Lines, fmt.Sprintf("Revision %d was made by %s at %s, as change %s: %s.",
					revision, r.Operator, r.At.Format(time.RFC3339), r.ID, r.Summary()), "The command was: "+r.Command)
			}
		}
		for _, h := range n.Halls(now) {
			state := "in force"
			if h.Revision < revision {
				state = "not yet in force"
			}
			line := fmt.Sprintf("It is %s in hall %s, by an account %.1f s old.", state, h.Hall, h.Age.Seconds())
			if h.Cut {
				line = fmt.Sprintf("Hall %s cannot be heard; the last account is %.1f s old.", h.Hall, h.Age.Seconds())
			}
			out.Lines = append(out.Lines, line)
		}
	})
	if len(out.Lines) == 0 || !strings.HasPrefix(out.Lines[0], "Revision") {
		out.Lines = append([]string{fmt.Sprintf("Revision %d is not among the records kept here.", revision)}, out.Lines...)
	}
	return out, nil
}

// sentence tells an event in plain words.
func (v eventView) sentence() string {
	when := v.at
	if at, err := time.Parse(time.RFC3339Nano, v.at); err == nil {
		when = at.Format("15:04:05.000")
	}
	return when + " " + v.instance + ": " + v.words()
}

func (v eventView) words() string {
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

func (v eventView) details() string {
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
