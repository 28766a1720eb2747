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
	// applyTime, versionTime and the figures of the retry budget are those of the settings and of the platform's documentation.
	applyTime       = 2 * time.Second
	versionTime     = 5 * time.Second
	graceMargin     = 600 * time.Millisecond
	retryRatio      = 0.2
	retryExtra      = 54
	contactTime     = 3 * time.Second
	crashRetries    = 3
	budgetWindow    = 10 * time.Second
	limitSpan       = 4 * time.Second
	limitSlack      = 1.5
	limitExtra      = 5
	noticeApplyTime = 500 * time.Millisecond
	restRequests    = 2
	// endlessMemoryKB is how much memory an instance may take while endpoints send without end.
	endlessMemoryKB = 64 << 10
	// maxTimelines bounds the number of findings that are printed and whose timelines are written.
	maxTimelines = 20
	// histogramMax is the largest latency of the histograms, in milliseconds, and histogramDigits their precision in significant digits.
	histogramMax    = 60_000
	histogramDigits = 2
)

// record combines the records of callers, endpoints and the soak itself.
func (s *site) record(attempts []ledger.Attempt, lag *lagMeter) (*ledger.Record, error) {
	r := &ledger.Record{
		Attempts: attempts, Disruptions: s.recorder.disruptions, Departures: s.recorder.departures, Endpoints: s.recorder.endpoints, Namings: s.recorder.namings,
		Crashers: s.crasherRecords(), Additions: s.operator.additions(), Limits: s.operator.limits(), Exits: s.recorder.exits, Overfull: s.recorder.overfull, Lag: lag.maxLag,
		Bounds: ledger.Bounds{
			Grace: grace, GraceMargin: graceMargin, Drain: drainTime, Apply: applyTime, Version: versionTime,
			Contact: contactTime, CrashRetries: crashRetries,
			LimitSpan: limitSpan, LimitSlack: limitSlack, LimitExtra: limitExtra, NoticeApply: noticeApplyTime, RestRequests: restRequests,
			BudgetWindow: budgetWindow, RetryRatio: retryRatio, RetryExtra: retryExtra, IdleLimit: s.operator.minIdleLimit(),
		},
	}
	if s.args.Endless {
		r.Bounds.MemoryKB = endlessMemoryKB
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

// readJournal reads the journal of an endpoint. It skips a last line that is incomplete because the endpoint was killed.
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

// report prints the result of the run. It removes the folder of a run without findings, unless --keep is set, and otherwise writes the
// record of the run into the folder.
func (s *site) report(r *ledger.Record, steps []plan.Step) error {
	findings := ledger.RunChecks(r)
	if cut := ledger.CountCutStreams(r); s.args.NoCut && cut > 0 {
		findings = append(findings, ledger.Finding{Check: "a stream that may be resumed was cut", Text: fmt.Sprintf("%d streams", cut)})
	}
	fmt.Println(s.summaryLine(r, steps, findings))
	for _, summaryLine := range latencyLines(r) {
		fmt.Println(summaryLine)
	}
	if len(findings) == 0 && !s.args.Keep {
		return os.RemoveAll(s.folder)
	}
	if err := s.saveRun(r, steps, findings); err != nil {
		return err
	}
	if len(findings) == 0 {
		return nil
	}
	return &findingsError{findings: len(findings), folder: s.folder}
}

// summaryLine returns the line that summarizes the run.
func (s *site) summaryLine(r *ledger.Record, steps []plan.Step, findings []ledger.Finding) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d s, %d instances, %d callers: %d requests", s.args.Seed, s.args.Seconds, s.args.Instances, s.args.Callers, len(r.Attempts))
	outcomes := make(map[string]int)
	for _, a := range r.Attempts {
		outcomes[string(a.Outcome)]++
	}
	unrun := ledger.CountNotRun(r)
	fmt.Fprintf(&b, " (%s); closed and not run %d, of them at the idle limit %d, beside a stop %d; streams cut that may be resumed %d", formatCounts(outcomes), unrun.All, unrun.Idle, unrun.Stop,
		ledger.CountCutStreams(r))
	fmt.Fprintf(&b, "; most memory %d MB, most descriptors after the last caller %d", maxUsage(r, func(u ledger.Usage) int { return u.PeakKB })/kbPerMB,
		maxUsage(r, func(u ledger.Usage) int { return u.Descriptors }))
	b.WriteString(framingText(r))
	b.WriteString(ledger.CountTakenUp(r).String())
	b.WriteString(ledger.CountAfterHerds(r).String())
	kinds := make(map[string]int)
	for _, step := range steps {
		kinds[string(step.Kind)]++
	}
	fmt.Fprintf(&b, "; %d steps (%s)", len(steps), formatCounts(kinds))
	broken := make(map[string]int)
	for _, f := range findings {
		broken[f.Check]++
	}
	if len(broken) == 0 {
		return b.String() + "; nothing broken"
	}
	fmt.Fprintf(&b, "; BROKEN: %s", formatCounts(broken))
	return b.String()
}

// framingText returns how whole answers told their callers where they end, and how many answers their endpoints sent until the close of their
// connection and broke off.
func framingText(r *ledger.Record) string {
	framings := make(map[string]int)
	for _, a := range r.Attempts {
		if a.Outcome == ledger.Whole {
			framings[string(a.Framing)]++
		}
	}
	untilClose, cut := 0, 0
	for _, event := range r.Runs {
		switch {
		case event.UntilClose && event.Phase == platformstandin.RunBegan:
			untilClose++
		case event.UntilClose && event.Phase == platformstandin.RunFailed:
			cut++
		}
	}
	return fmt.Sprintf("; whole answers framed by %s; endpoints sent %d until the close and broke %d of them off", formatCounts(framings), untilClose, cut)
}

// kbPerMB converts the kilobytes of /proc to megabytes.
const kbPerMB = 1024

// maxUsage returns the largest value of the given figure over all instances.
func maxUsage(r *ledger.Record, of func(ledger.Usage) int) int {
	maxUsage := 0
	for _, u := range r.Usages {
		maxUsage = max(maxUsage, of(u))
	}
	return maxUsage
}

// formatCounts returns the counts as text, ordered by name.
func formatCounts(all map[string]int) string {
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

// latencyLines returns, for each kind of route, a line with the latencies of whole answers.
func latencyLines(r *ledger.Record) []string {
	histograms := make(map[ledger.RouteKind]*hdrhistogram.Histogram)
	for _, a := range r.Attempts {
		if a.Outcome != ledger.Whole {
			continue
		}
		if histograms[a.Kind] == nil {
			histograms[a.Kind] = hdrhistogram.New(1, histogramMax, histogramDigits)
		}
		// Values outside the range are clamped, so that recording cannot fail.
		_ = histograms[a.Kind].RecordValue(min(histogramMax, max(1, a.Ended.Sub(a.Began).Milliseconds())))
	}
	var lines []string
	for kind, h := range histograms {
		lines = append(lines, fmt.Sprintf("  %-10s %7d whole, ms: median %d, 90%% %d, 99%% %d, most %d", kind, h.TotalCount(),
			h.ValueAtPercentile(50), h.ValueAtPercentile(90), h.ValueAtPercentile(99), h.Max()))
	}
	slices.Sort(lines)
	return lines
}

// saveRun writes the arguments, plan, record and findings into the folder of the run and prints the first findings.
func (s *site) saveRun(r *ledger.Record, steps []plan.Step, findings []ledger.Finding) error {
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
	if err := s.saveAttempts(r.Attempts); err != nil {
		return err
	}
	for i, f := range findings {
		if i < maxTimelines && f.Request != "" {
			if err := s.saveTimeline(r, f); err != nil {
				return err
			}
		}
		if i < maxTimelines {
			fmt.Printf("  %s: %s %s\n", f.Check, f.Request, f.Text)
		}
	}
	return nil
}

func (s *site) saveAttempts(attempts []ledger.Attempt) error {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	for _, a := range attempts {
		if err := encoder.Encode(a); err != nil {
			return err
		}
	}
	return os.WriteFile(s.runFile("attempts.jsonl"), b.Bytes(), 0o600)
}

// timelineEntry is one line of a timeline.
type timelineEntry struct {
	at   time.Time
	text string
}

// saveTimeline writes the events of the finding's request in order of time: the caller's attempt, the runs, the disruptions around the
// attempt and the log lines that name the request.
func (s *site) saveTimeline(r *ledger.Record, f ledger.Finding) error {
	moments := requestTimeline(r, f.Request)
	files, err := filepath.Glob(s.runFile("*.log"))
	if err != nil {
		return err
	}
	for _, file := range files {
		lines, err := logLinesNaming(file, f.Request)
		if err != nil {
			return err
		}
		moments = append(moments, lines...)
	}
	slices.SortStableFunc(moments, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", f.Check, f.Text)
	for _, m := range moments {
		fmt.Fprintf(&b, "%s %s\n", m.at.UTC().Format("15:04:05.000000"), m.text)
	}
	return os.WriteFile(s.runFile("timeline-"+f.Request+".txt"), []byte(b.String()), 0o600)
}

// timelineMargin is the time before and after a request in which disruptions are included in its timeline.
const timelineMargin = 5 * time.Second

func requestTimeline(r *ledger.Record, id string) []timelineEntry {
	var moments []timelineEntry
	for _, a := range r.Attempts {
		if a.ID != id {
			continue
		}
		moments = append(moments,
			timelineEntry{a.Began, fmt.Sprintf("caller begins %s %s at %s from %s, use %d after %s of rest, closed before: %t", a.Kind, a.Path, a.Instance, a.Connection, a.Use, a.IdleTime, a.ClosedBefore)},
			timelineEntry{a.Sent, "caller has sent all"}, timelineEntry{a.Ended, fmt.Sprintf("caller sees %s, status %d: %s", a.Outcome, a.Status, a.Cause)})
		for _, d := range r.Disruptions {
			if d.From.Before(a.Ended.Add(timelineMargin)) && d.To.After(a.Began.Add(-timelineMargin)) {
				moments = append(moments, timelineEntry{d.From, fmt.Sprintf("%s of %q until %s", d.Fault, d.Target, d.To.UTC().Format("15:04:05.000"))})
			}
		}
	}
	for _, event := range r.Runs {
		if event.ID == id {
			moments = append(moments, timelineEntry{event.At, fmt.Sprintf("%s: %s, version %d, resumed after %q", event.Endpoint, event.Phase, event.Version, event.Resumed)})
		}
	}
	return moments
}

// logLinesNaming returns the lines of a log file that contain the identifier of a request, each with the time of the line.
func logLinesNaming(file, id string) ([]timelineEntry, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var moments []timelineEntry
	scanner := bufio.NewScanner(bytes.NewReader(content))
	scanner.Buffer(nil, len(content)+1)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), `"`+id+`"`) {
			continue
		}
		var line struct {
			Time time.Time `json:"time"`
		}
		// A line without a valid time keeps the zero time and is sorted to the beginning.
		_ = json.Unmarshal(scanner.Bytes(), &line)
		moments = append(moments, timelineEntry{line.Time, filepath.Base(file) + ": " + scanner.Text()})
	}
	return moments, scanner.Err()
}
