// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fault is the trouble of one request.
type fault int

const (
	faultNone fault = iota
	faultError
	faultReset
	faultShed
	faultHang
)

// take uses one of a number of coming faults, if any is left.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (w *Worker) nextFault() fault {
	switch {
	case take(&w.faults.Errors):
		return faultError
	case take(&w.faults.Resets):
		return faultReset
	case take(&w.faults.Sheds):
		return faultShed
	case take(&w.faults.Hangs):
		return faultHang
	}
	return faultNone
}

// noteArrival counts a request that arrived, has its answer say what the worker says of itself, and gives that.
func (w *Worker) noteArrival(writer http.ResponseWriter, request *http.Request) Notice {
	w.mutex.Lock()
	w.arrivals = append(w.arrivals, time.Now())
	said := w.faults.Says
	w.hasSaid = w.hasSaid || said != (Notice{})
	told := w.hasSaid
	w.mutex.Unlock()
	if said.Limit != "" {
		writer.Header().Set("Server-Limit", said.Limit)
	}
	if said.Leaving {
		writer.Header().Set("Server-Leaving", "1")
	}
	if told {
		w.journalNotice(RunArrived, request, said)
	}
	return said
}

// journalNotice writes to the journal what a request was or is told.
func (w *Worker) journalNotice(phase RunPhase, request *http.Request, said Notice) {
	if w.options.Journal != nil {
		w.options.Journal(RunEvent{At: time.Now(), Phase: phase, Endpoint: w.options.ID, ID: request.Header.Get(HeaderRequestID), Said: said})
	}
}

// turnAway answers that a request does not run, and that the worker wants to rest.
func (w *Worker) turnAway(writer http.ResponseWriter, rest string) {
	w.mutex.Lock()
	w.rests = append(w.rests, time.Now())
	w.mutex.Unlock()
	writer.Header().Set("X-Not-Executed", "1")
	writer.Header().Set("Retry-After", rest)
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// Rests gives when requests were turned away with a time to rest, in order.
func (w *Worker) Rests() []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.rests)
}

// Arrivals gives when requests arrived, in order, whether or not they ran.
func (w *Worker) Arrivals() []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.arrivals)
}

// serveRequest serves a request, and notes that whoever sent it has been told what the answer says of the worker.
func (w *Worker) serveRequest(writer http.ResponseWriter, request *http.Request) {
	said := w.noteArrival(writer, request)
	if said.Rest != "" {
		w.turnAway(writer, said.Rest)
	} else {
		w.run(writer, request)
	}
	if said != (Notice{}) && request.Context().Err() == nil {
		w.journalNotice(RunTold, request, said)
	}
}

// run runs a request, unless it can't; a panic breaks its answer off.
func (w *Worker) run(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	model, adapter, _ := strings.Cut(request.Header.Get("X-Model"), "/")
	if !w.queue(request) {
		return
	}
	w.mutex.Lock()
	w.settle()
	version, resident := w.adapters[adapter]
	trouble := w.nextFault()
	wrong := w.options.Model != "" && (model != w.options.Model || (adapter != "" && !resident))
	if expected := request.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.Itoa(version) {
		wrong = true
	}
	if trouble == faultShed || wrong {
		w.mutex.Unlock()
		writer.Header().Set("X-Not-Executed", "1")
		if wrong {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{
		ID: request.Header.Get(HeaderRequestID), Adapter: adapter, Version: version,
		Deadline: request.Header.Get("X-Deadline-Ms"), Resumed: request.Header.Get("Last-Event-Id"), Began: time.Now(),
	}
	w.runs = append(w.runs, run)
	w.inUse[adapter]++
	w.mutex.Unlock()
	w.note(run, RunBegan)
	phase := RunBroke
	defer func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.inUse[adapter]--
		run.Canceled = request.Context().Err() != nil
		if run.Canceled && phase == RunWhole {
			phase = RunCanceled
		}
		if phase != RunCrashed {
			w.note(run, phase)
		}
	}()
	phase = w.answer(writer, request, trouble, run, body)
}

// note writes a phase of a run to the journal, if there is one.
func (w *Worker) note(run *Run, phase RunPhase) {
	if w.options.Journal == nil {
		return
	}
	w.options.Journal(RunEvent{
		At: time.Now(), Phase: phase, Endpoint: w.options.ID, ID: run.ID, Adapter: run.Adapter, Version: run.Version, Resumed: run.Resumed,
	})
}

// queue waits until a request begins; false if its caller left before.
func (w *Worker) queue(request *http.Request) bool {
	wait, keeps := w.enterQueue()
	defer w.leaveQueue()
	if wait == 0 {
		return true
	}
	left := request.Context().Done()
	if keeps {
		left = nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-left:
		return false
	}
}

// enterQueue counts a request that waits, and gives how long it will, and whether it stays when its caller leaves.
func (w *Worker) enterQueue() (wait time.Duration, keeps bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queued++
	return w.queueWait, w.faults.KeepsQueued
}

func (w *Worker) leaveQueue() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queued--
}

// answer answers a request that runs, and tells how the run ended; a panic breaks it off.
func (w *Worker) answer(writer http.ResponseWriter, request *http.Request, trouble fault, run *Run, body []byte) RunPhase {
	if request.URL.Query().Has(CrashParameter) {
		return w.crashBy(request, run)
	}
	switch trouble {
	case faultHang:
		<-request.Context().Done()
		return RunBroke
	case faultReset:
		panic(http.ErrAbortHandler)
	}
	w.mutex.Lock()
	extra, unsealed := take(&w.faults.Extras), take(&w.faults.Unsealed)
	w.mutex.Unlock()
	writer.Header().Set(HeaderRequestID, run.ID)
	if !unsealed {
		writer.Header().Set(HeaderSeal, w.options.ID+"."+run.ID)
	}
	if trouble == faultError {
		writer.WriteHeader(http.StatusInternalServerError)
		return RunBroke
	}
	if extra {
		w.answerTwice(writer, run)
		return RunWhole
	}
	if w.options.Model != "" {
		w.stream(writer, request, run)
		return RunWhole
	}
	if work := queryMilliseconds(request, "work_ms", 0); work > 0 {
		time.Sleep(work)
	}
	_, _ = fmt.Fprintf(writer, "%s answers %s %s %s %q", w.options.ID, run.ID, request.Method, request.RequestURI, body)
	return RunWhole
}

// CrashParameter is in the query of a request that ends the worker which runs it, and says how many milliseconds after its begin.
const CrashParameter = "crash_ms"

// crashBy ends the worker.
func (w *Worker) crashBy(request *http.Request, run *Run) RunPhase {
	time.Sleep(queryMilliseconds(request, CrashParameter, 0))
	// Where the process ends, nothing is written any more.
	w.note(run, RunCrashed)
	if w.options.Crash != nil {
		w.options.Crash()
	}
	w.Crash()
	return RunCrashed
}

// queryNumber gives a number that the request's query names, or the usual one.
func queryNumber(request *http.Request, name string, usual int) int {
	number, err := strconv.Atoi(request.URL.Query().Get(name))
	if err != nil {
		return usual
	}
	return number
}

// queryMilliseconds gives a time that the request's query names, or the usual one.
func queryMilliseconds(request *http.Request, name string, usual time.Duration) time.Duration {
	return time.Duration(queryNumber(request, name, int(usual.Milliseconds()))) * time.Millisecond
}

// answerTwice sends a whole answer and the same once more on the same connection.
func (w *Worker) answerTwice(writer http.ResponseWriter, run *Run) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	text := "twice"
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", run.ID, w.options.ID+"."+run.ID, len(text), text)
	_, _ = conn.Write([]byte(one + one))
	time.Sleep(200 * time.Millisecond)
	_ = conn.Close()
}

// stream makes events with rising ids, after the one that the caller has.
func (w *Worker) stream(writer http.ResponseWriter, request *http.Request, run *Run) {
	first := 1
	if run.Resumed != "" {
		last, _ := strconv.Atoi(run.Resumed)
		first = last + 1
	}
	w.mutex.Lock()
	breakAfter := 0
	if take(&w.faults.Breaks) {
		breakAfter = w.faults.BreakAfter
	}
	w.mutex.Unlock()
	writer.Header().Set("Content-Type", "text/event-stream")
	events, pause := queryNumber(request, "events", w.options.Events), queryMilliseconds(request, "pause_ms", w.options.Pause)
	padding := queryNumber(request, "padding", 0)
	for id := first; id <= events; id++ {
		if breakAfter > 0 && id > breakAfter {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: half", id)
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(writer, PaddedEvent(id, run.ID, run.Adapter, padding))
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}
