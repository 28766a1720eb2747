// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/plan"
)

const (
	// applyTime, versionTime and budget figures are those of the settings and of the platform's pages.
	applyTime    = 2 * time.Second
	versionTime  = 5 * time.Second
	graceMargin  = 600 * time.Millisecond
	retryRatio   = 0.2
	retryExtra   = 54
	contactTime  = 3 * time.Second
	crashRetries = 3
	budgetWindow = 10 * time.Second
	limitSpan    = 4 * time.Second
	limitSlack   = 1.5
	limitExtra   = 5
	heardTime    = 500 * time.Millisecond
	restRequests = 2
	// mostTimelines bounds the requests whose timelines are written.
	mostTimelines = 20
	// histogramTop and histogramDigits are the range, in milliseconds, and the precision of latencies.
	histogramTop    = 60_000
	histogramDigits = 2
)

// record joins what callers, endpoints and the soak itself saw.
func (s *site) record(attempts []ledger.Attempt, lag *lagMeter) (*ledger.Record, error) {
	r := &ledger.Record{
		Attempts: attempts, Disruptions: s.notes.disruptions, Departures: s.notes.departures, Namings: s.notes.namings,
		Crashers: s.crashers(), Additions: s.operator.additions(), Limits: s.operator.limits(), Exits: s.notes.exits, Overfull: s.notes.overfull, Lag: lag.most,
		Bounds: ledger.Bounds{
			Grace: grace, GraceMargin: graceMargin, Drain: drainTime, Apply: applyTime, Version: versionTime,
			Contact: contactTime, CrashRetries: crashRetries,
			LimitSpan: limitSpan, LimitSlack: limitSlack, LimitExtra: limitExtra, Heard: heardTime, RestRequests: restRequests,
			BudgetWindow: budgetWindow, RetryRatio: retryRatio, RetryExtra: retryExtra, IdleLimit: s.operator.shortestIdle(),
		},
	}
	files, err := s.journals()
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		events, err := readJournal(file)
		if err != nil {
			return nil, err
		}
		for _, event := range events {
			if event.Phase == platformstandin.RunArrived || event.Phase == platformstandin.RunNoticeReceived {
				r.Notices = append(r.Notices, event)
				continue
			}
			r.Runs = append(r.Runs, event)
		}
	}
	return r, nil
}

// readJournal reads an endpoint's journal; a last line that a kill cut off is passed over.
func readJournal(file string) ([]platformstandin.RunEvent, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var events []platformstandin.RunEvent
	for _, line := range bytes.Split(content, []byte("\n")) {
		var event platformstandin.RunEvent
		if len(line) > 0 && json.Unmarshal(line, &event) == nil {
			events = append(events, event)
		}
	}
	return events, nil
}

// report prints a line, and keeps the folder of a run that broke something.
func (s *site) report(r *ledger.Record, steps []plan.Step) error {
	findings := ledger.Judge(r)
	if cut := ledger.CutStreams(r); s.args.NoCut && cut > 0 {
		findings = append(findings, ledger.Finding{Check: "a stream that may be resumed was cut", Text: fmt.Sprintf("%d streams", cut)})
	}
	fmt.Println(s.line(r, steps, findings))
	for _, line := range latencies(r) {
		fmt.Println(line)
	}
	if len(findings) == 0 && !s.args.Keep {
		return os.RemoveAll(s.folder)
	}
	if err := s.keep(r, steps, findings); err != nil {
		return err
	}
	if len(findings) == 0 {
		return nil
	}
	return &brokenError{findings: len(findings), folder: s.folder}
}

// line sums a run up.
func (s *site) line(r *ledger.Record, steps []plan.Step, findings []ledger.Finding) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d s, %d instances, %d callers: %d requests", s.args.Seed, s.args.Seconds, s.args.Instances, s.args.Callers, len(r.Attempts))
	outcomes := make(map[string]int)
	for _, a := range r.Attempts {
		outcomes[string(a.Outcome)]++
	}
	unrun := ledger.Unanswered(r)
	fmt.Fprintf(&b, " (%s); closed and not run %d, of them at the idle limit %d, beside a stop %d; streams cut that may be resumed %d", counts(outcomes), unrun.All, unrun.Idle, unrun.Stop,
		ledger.CutStreams(r))
	fmt.Fprintf(&b, "; most memory %d MB, most descriptors after the last caller %d", most(r, func(u ledger.Usage) int { return u.PeakKB })/kbPerMB,
		most(r, func(u ledger.Usage) int { return u.Descriptors }))
	kinds := make(map[string]int)
	for _, step := range steps {
		kinds[string(step.Kind)]++
	}
	fmt.Fprintf(&b, "; %d steps (%s)", len(steps), counts(kinds))
	broken := make(map[string]int)
	for _, f := range findings {
		broken[f.Check]++
	}
	if len(broken) == 0 {
		return b.String() + "; nothing broken"
	}
	fmt.Fprintf(&b, "; BROKEN: %s", counts(broken))
	return b.String()
}

// kbPerMB is how many KB are a MB.
const kbPerMB = 1024

// most gives the largest figure of all instances.
func most(r *ledger.Record, of func(ledger.Usage) int) int {
	most := 0
	for _, u := range r.Usages {
		most = max(most, of(u))
	}
	return most
}

// counts writes counts in the order of their names.
func counts(all map[string]int) string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, all[name]))
	}
	return strings.Join(parts, ", ")
}

// latencies gives a line for each kind of route: how long whole answers took.
func latencies(r *ledger.Record) []string {
	histograms := make(map[ledger.RouteKind]*hdrhistogram.Histogram)
	for _, a := range r.Attempts {
		if a.Outcome != ledger.Whole {
			continue
		}
		if histograms[a.Kind] == nil {
			histograms[a.Kind] = hdrhistogram.New(1, histogramTop, histogramDigits)
		}
		// A value beyond the range is counted at its end.
		_ = histograms[a.Kind].RecordValue(min(histogramTop, max(1, a.Ended.Sub(a.Began).Milliseconds())))
	}
	var lines []string
	for kind, h := range histograms {
		lines = append(lines, fmt.Sprintf("  %-10s %7d whole, ms: median %d, 90%% %d, 99%% %d, most %d", kind, h.TotalCount(),
			h.ValueAtPercentile(50), h.ValueAtPercentile(90), h.ValueAtPercentile(99), h.Max()))
	}
	slices.Sort(lines)
	return lines
}

// keep writes what led to the findings into the run's folder.
func (s *site) keep(r *ledger.Record, steps []plan.Step, findings []ledger.Finding) error {
	content := map[string]any{
		"arguments.json": s.args, "plan.json": steps, "findings.json": findings, "disruptions.json": r.Disruptions, "exits.json": r.Exits,
		"usages.json": r.Usages,
	}
	for name, value := range content {
		encoded, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.runFile(name), encoded, 0o600); err != nil {
			return err
		}
	}
	if err := s.keepAttempts(r.Attempts); err != nil {
		return err
	}
	for i, f := range findings {
		if i < mostTimelines && f.Request != "" {
			if err := s.keepTimeline(r, f); err != nil {
				return err
			}
		}
		if i < mostTimelines {
			fmt.Printf("  %s: %s %s\n", f.Check, f.Request, f.Text)
		}
	}
	return nil
}

func (s *site) keepAttempts(attempts []ledger.Attempt) error {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	for _, a := range attempts {
		if err := encoder.Encode(a); err != nil {
			return err
		}
	}
	return os.WriteFile(s.runFile("attempts.jsonl"), b.Bytes(), 0o600)
}

// moment is a line of a timeline.
type moment struct {
	at   time.Time
	text string
}

// keepTimeline writes all that is known of one request, in order: the caller's attempt, the runs, the steps beside it and the log
// lines that name it.
func (s *site) keepTimeline(r *ledger.Record, f ledger.Finding) error {
	moments := momentsOf(r, f.Request)
	files, err := filepath.Glob(s.runFile("*.log"))
	if err != nil {
		return err
	}
	for _, file := range files {
		lines, err := linesNaming(file, f.Request)
		if err != nil {
			return err
		}
		moments = append(moments, lines...)
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return a.at.Compare(b.at) })
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", f.Check, f.Text)
	for _, m := range moments {
		fmt.Fprintf(&b, "%s %s\n", m.at.UTC().Format("15:04:05.000000"), m.text)
	}
	return os.WriteFile(s.runFile("timeline-"+f.Request+".txt"), []byte(b.String()), 0o600)
}

// beside is how far from a request disruptions are listed in its timeline.
const beside = 5 * time.Second

func momentsOf(r *ledger.Record, id string) []moment {
	var moments []moment
	for _, a := range r.Attempts {
		if a.ID != id {
			continue
		}
		moments = append(moments,
			moment{a.Began, fmt.Sprintf("caller begins %s %s at %s from %s, use %d after %s of rest, closed before: %t", a.Kind, a.Path, a.Instance, a.Connection, a.Use, a.Rested, a.ClosedBefore)},
			moment{a.Sent, "caller has sent all"}, moment{a.Ended, fmt.Sprintf("caller sees %s, status %d: %s", a.Outcome, a.Status, a.Cause)})
		for _, d := range r.Disruptions {
			if d.From.Before(a.Ended.Add(beside)) && d.To.After(a.Began.Add(-beside)) {
				moments = append(moments, moment{d.From, fmt.Sprintf("%s of %q until %s", d.Trouble, d.Target, d.To.UTC().Format("15:04:05.000"))})
			}
		}
	}
	for _, event := range r.Runs {
		if event.ID == id {
			moments = append(moments, moment{event.At, fmt.Sprintf("%s: %s, version %d, resumed after %q", event.Endpoint, event.Phase, event.Version, event.Resumed)})
		}
	}
	return moments
}

// linesNaming gives the log lines of a file that name a request, at their own time.
func linesNaming(file, id string) ([]moment, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var moments []moment
	scanner := bufio.NewScanner(bytes.NewReader(content))
	scanner.Buffer(nil, len(content)+1)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), `"`+id+`"`) {
			continue
		}
		var line struct {
			Time time.Time `json:"time"`
		}
		// A line without a time stands first.
		_ = json.Unmarshal(scanner.Bytes(), &line)
		moments = append(moments, moment{line.Time, filepath.Base(file) + ": " + scanner.Text()})
	}
	return moments, scanner.Err()
}
