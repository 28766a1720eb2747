// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// Explanation describes a case in sentences for operators.
type Explanation struct {
	Lines []string `json:"lines"`
	Parts []Part   `json:"parts"`
}

// Explain describes what happened to a request, an adapter, a slot or a revision, based on the stored events and records.
func (s *Service) Explain(ctx context.Context, e *language.Explain) (Explanation, error) {
	switch {
	case e.Request != nil:
		return s.explainEvents(ctx, "request "+e.Request.Text, func(v eventRow) bool {
			return v.request == e.Request.Text || strings.HasPrefix(v.request, e.Request.Text+"~")
		})
	case e.Adapter != nil:
		return s.explainAdapter(ctx, e.Adapter.Text)
	case e.Slot != nil:
		return s.explainSlot(ctx, e.Slot)
	}
	return s.explainRevision(int64(*e.Revision))
}

// explainEvents describes the matching events of the whole fleet in the order of their times.
func (s *Service) explainEvents(ctx context.Context, what string, wanted func(eventRow) bool) (Explanation, error) {
	t, parts, err := s.gatherTable(ctx, "events")
	if err != nil {
		return Explanation{}, err
	}
	if err := sortRows(&language.Show{Order: []*language.Order{{Column: "at"}}}, t); err != nil {
		return Explanation{}, err
	}
	out := Explanation{Parts: parts}
	for _, row := range t.Rows {
		if v := newEventRow(t, row); wanted(v) {
			out.Lines = append(out.Lines, v.sentence())
		}
	}
	if len(out.Lines) == 0 {
		out.Lines = []string{"Nothing is known of " + what + ": no event of it is kept any more, or it never was."}
	}
	return out, nil
}

func (s *Service) explainAdapter(ctx context.Context, name string) (Explanation, error) {
	out, err := s.explainEvents(ctx, "adapter "+name, func(v eventRow) bool { return matchesAdapter(v.adapter, name) || matchesAdapter(v.other, name) })
	if err != nil {
		return out, err
	}
	// The catalog lists adapters by their names without a version.
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

// matchesAdapter reports whether the adapter of an event has the given name. If the name contains no version, any version matches.
func matchesAdapter(adapter, name string) bool {
	return adapter == name || strings.HasPrefix(adapter, name+"@")
}

// explainSlot describes the events and the current state of a slot. If no adapter is given, it describes the events of the endpoint
// that concern no request, and all its slots.
func (s *Service) explainSlot(ctx context.Context, slot *language.Slot) (Explanation, error) {
	out, err := s.explainEvents(ctx, "slot "+slot.Endpoint+" "+slot.Adapter, func(v eventRow) bool {
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
	t, _, err := s.gatherTable(ctx, "slots")
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

// explainRevision describes a revision's record and whether the revision is in force in each hall.
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
			if h.CutOff {
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
