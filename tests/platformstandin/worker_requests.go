// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// requestFault is the fault that one request gets.
type requestFault int

const (
	faultNone requestFault = iota
	faultError
	faultReset
	faultShed
	faultHang
)

// take decrements a count of remaining faults. It reports whether any was left.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (w *Worker) nextFault() requestFault {
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

// recordArrival records that a request arrived. It sets the headers of the worker's notice in the answer and returns the notice.
func (w *Worker) recordArrival(writer http.ResponseWriter, request *http.Request) Notice {
	w.mutex.Lock()
	w.arrivals = append(w.arrivals, time.Now())
	notice := w.faults.Says
	w.hasAnnounced = w.hasAnnounced || notice != (Notice{})
	recorded := w.hasAnnounced
	w.mutex.Unlock()
	if notice.Limit != "" {
		writer.Header().Set("Server-Limit", notice.Limit)
	}
	if notice.Leaving {
		writer.Header().Set("Server-Leaving", "1")
	}
	if recorded {
		w.recordNotice(RunArrived, request, notice)
	}
	return notice
}

// recordNotice writes an event of a request and the notice in its answer to the journal.
func (w *Worker) recordNotice(phase RunPhase, request *http.Request, notice Notice) {
	if w.options.Journal != nil {
		w.options.Journal(RunEvent{At: time.Now(), Phase: phase, Endpoint: w.options.ID, ID: request.Header.Get(HeaderRequestID), SentNotice: notice})
	}
}

// rejectForRest rejects a request without a run, with Retry-After as the time for which the worker wants no requests.
func (w *Worker) rejectForRest(writer http.ResponseWriter, rest string) {
	w.mutex.Lock()
	w.rests = append(w.rests, time.Now())
	w.mutex.Unlock()
	writer.Header().Set("X-Not-Executed", "1")
	writer.Header().Set("Retry-After", rest)
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// Rests returns when requests were rejected with a time to rest, in order.
func (w *Worker) Rests() []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.rests)
}

// Arrivals returns when requests arrived, in order, whether or not they ran.
func (w *Worker) Arrivals() []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.arrivals)
}

// serveRequest serves a request, and records that its sender has received the notice in the answer.
func (w *Worker) serveRequest(writer http.ResponseWriter, request *http.Request) {
	notice := w.recordArrival(writer, request)
	if notice.Rest != "" {
		w.rejectForRest(writer, notice.Rest)
	} else {
		w.run(writer, request)
	}
	if notice != (Notice{}) && request.Context().Err() == nil {
		w.recordNotice(RunNoticeReceived, request, notice)
	}
}

// run runs a request, or rejects it if a fault says so or the worker does not hold the model, adapter or version. A panic aborts the answer.
func (w *Worker) run(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	model, adapter, _ := strings.Cut(request.Header.Get("X-Model"), "/")
	if !w.takeSlot(writer, request) {
		return
	}
	defer w.freeSlot()
	if !w.waitInQueue(request) {
		return
	}
	w.mutex.Lock()
	w.finishLoads()
	version, resident := w.adapters[adapter]
	fault := w.nextFault()
	misdirected := w.options.Model != "" && (model != w.options.Model || !w.holdsModel() || (adapter != "" && !resident))
	if expected := request.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.Itoa(version) {
		misdirected = true
	}
	if fault == faultShed || misdirected || w.isReplacing(adapter) {
		w.mutex.Unlock()
		writer.Header().Set("X-Not-Executed", "1")
		if misdirected {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sent := w.drawFraming()
	run := &Run{
		ID: request.Header.Get(HeaderRequestID), Adapter: adapter, Version: version, Software: w.options.Software,
		Deadline: request.Header.Get("X-Deadline-Ms"), Resumed: request.Header.Get("Last-Event-Id"), Began: time.Now(), UntilClose: sent.untilClose,
	}
	w.runs = append(w.runs, run)
	w.inUse[adapter]++
	w.mutex.Unlock()
	w.recordPhase(run, RunBegan)
	phase := RunFailed
	defer func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.inUse[adapter]--
		run.Canceled = request.Context().Err() != nil
		if run.Canceled && phase == RunCompleted {
			phase = RunCanceled
		}
		if phase != RunCrashed {
			w.recordPhase(run, phase)
		}
	}()
	phase = w.answer(writer, request, fault, sent, run, body)
}

// recordPhase writes a phase of a run to the journal, if set.
func (w *Worker) recordPhase(run *Run, phase RunPhase) {
	if w.options.Journal == nil {
		return
	}
	w.options.Journal(RunEvent{
		At: time.Now(), Phase: phase, Endpoint: w.options.ID, Software: run.Software, ID: run.ID, Adapter: run.Adapter, Version: run.Version,
		Resumed: run.Resumed, UntilClose: run.UntilClose, Endless: run.Endless,
	})
}

// waitInQueue waits until a request begins. It returns false if the sender closed the connection before.
func (w *Worker) waitInQueue(request *http.Request) bool {
	wait, keeps := w.enterQueue()
	defer w.leaveQueue()
	if wait == 0 {
		return true
	}
	disconnected := request.Context().Done()
	if keeps {
		disconnected = nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-disconnected:
		return false
	}
}

// enterQueue counts a request as waiting. It returns how long the request waits, and whether the request stays in the queue when its sender
// closes the connection.
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

// answerWithError answers a request that ran with an error under the seal of the worker.
func (w *Worker) answerWithError(writer http.ResponseWriter) {
	w.mutex.Lock()
	status, size := cmp.Or(w.faults.ErrorStatus, http.StatusInternalServerError), w.faults.ErrorBytes
	w.mutex.Unlock()
	writer.WriteHeader(status)
	// A write error means that the sender has closed the connection.
	_, _ = io.WriteString(writer, strings.Repeat("x", size))
}

// answer answers a request that runs, and returns how the run ended. A panic aborts the answer.
func (w *Worker) answer(writer http.ResponseWriter, request *http.Request, fault requestFault, sent framing, run *Run, body []byte) RunPhase {
	if request.URL.Query().Has(CrashParameter) {
		return w.crashByRequest(request, run)
	}
	if w.isKilledBy(request) {
		time.Sleep(killDelay)
		return w.crashByRun(run)
	}
	switch fault {
	case faultHang:
		<-request.Context().Done()
		return RunFailed
	case faultReset:
		panic(http.ErrAbortHandler)
	}
	w.mutex.Lock()
	extra, unsealed, endless := take(&w.faults.Extras), take(&w.faults.Unsealed), w.faults.Endless
	run.Endless = endless != EndlessNone
	w.mutex.Unlock()
	if endless != EndlessNone {
		sendWithoutEnd(writer, endless, run)
		return RunFailed
	}
	if !extra {
		sent.set(writer)
	}
	writer.Header().Set(HeaderRequestID, run.ID)
	if !unsealed {
		writer.Header().Set(HeaderSeal, w.options.ID+"."+run.ID)
	}
	if fault == faultError {
		w.answerWithError(writer)
		return RunFailed
	}
	if extra {
		w.answerTwice(writer, run)
		return RunCompleted
	}
	if w.options.Model != "" {
		w.stream(writer, request, run, sent.cut)
		return RunCompleted
	}
	if work := queryMilliseconds(request, "work_ms", 0); work > 0 {
		time.Sleep(work)
	}
	text := fmt.Sprintf("%s answers %s %s %s %q", w.options.ID, run.ID, request.Method, request.RequestURI, body)
	if sent.cut != noCut {
		cutPlain(writer, text)
	}
	_, _ = io.WriteString(writer, text)
	return RunCompleted
}

// CrashParameter is the query parameter of a request that crashes the worker which runs it. Its value is the time from the begin of the run
// to the crash, in milliseconds.
const CrashParameter = "crash_ms"

// crashByRequest crashes the worker after the time that the request names.
func (w *Worker) crashByRequest(request *http.Request, run *Run) RunPhase {
	time.Sleep(queryMilliseconds(request, CrashParameter, 0))
	return w.crashByRun(run)
}

// killDelay is the time until a worker begins to write an answer to a request with its KillingPart.
const killDelay = 40 * time.Millisecond

// isKilledBy reports whether a request has the part that crashes the worker.
func (w *Worker) isKilledBy(request *http.Request) bool {
	if w.options.KillingPart == "" {
		return false
	}
	return slices.ContainsFunc(strings.Split(request.Header.Get(HeaderParts), ","), func(part string) bool {
		return strings.HasPrefix(part, w.options.KillingPart)
	})
}

// crashByRun crashes the worker because of a run.
func (w *Worker) crashByRun(run *Run) RunPhase {
	// Record the phase first, since options.Crash may end the process.
	w.recordPhase(run, RunCrashed)
	if w.options.Crash != nil {
		w.options.Crash()
	}
	w.Crash()
	return RunCrashed
}

// queryNumber returns a number of the request's query, or the fallback if the query has no such number.
func queryNumber(request *http.Request, name string, fallback int) int {
	number, err := strconv.Atoi(request.URL.Query().Get(name))
	if err != nil {
		return fallback
	}
	return number
}

// queryMilliseconds returns a duration of the request's query, given in milliseconds, or the fallback if the query has no such number.
func queryMilliseconds(request *http.Request, name string, fallback time.Duration) time.Duration {
	return time.Duration(queryNumber(request, name, int(fallback.Milliseconds()))) * time.Millisecond
}

// RepeatedAnswer and RepeatedEvent are the bodies of an answer that is sent twice, without and as a stream of events.
const (
	RepeatedAnswer = "twice"
	RepeatedEvent  = "data: twice\n\n"
)

// answerTwice sends a complete answer twice on the same connection.
func (w *Worker) answerTwice(writer http.ResponseWriter, run *Run) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	text, contentType := RepeatedAnswer, "text/plain"
	if w.options.Model != "" {
		text, contentType = RepeatedEvent, eventStreamType
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n", run.ID, w.options.ID+"."+run.ID)
	response := head + fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(text), text)
	_, _ = conn.Write([]byte(response + response))
	time.Sleep(200 * time.Millisecond)
	_ = conn.Close()
}

// eventStreamType is the content type of a stream of events.
const eventStreamType = "text/event-stream"

// stream sends events with increasing IDs, beginning after the last event that the caller has received.
func (w *Worker) stream(writer http.ResponseWriter, request *http.Request, run *Run, cut cutKind) {
	first := 1
	if run.Resumed != "" {
		last, _ := strconv.Atoi(run.Resumed)
		first = last + 1
	}
	writer.Header().Set("Content-Type", eventStreamType)
	events, pause := queryNumber(request, "events", w.options.Events), queryMilliseconds(request, "pause_ms", w.options.Pause)
	padding, isSigned := queryNumber(request, "padding", 0), request.URL.Query().Has(SignedParameter)
	cutAfter, cut := w.cutPosition(first, events, cut)
	for id := first; id <= events; id++ {
		if cut != noCut && id > cutAfter {
			_, _ = io.WriteString(writer, HalfEvent(id))
			_ = http.NewResponseController(writer).Flush()
			breakConnection(writer, cut)
		}
		if isSigned {
			_, _ = io.WriteString(writer, Maker{Event: id, Worker: w.options.ID, Software: run.Software}.comment())
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

// cutPosition returns after which event of a stream the worker breaks it off, and how. A fault of the worker precedes the drawn cut.
func (w *Worker) cutPosition(first, events int, drawn cutKind) (int, cutKind) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if take(&w.faults.Breaks) && w.faults.BreakAfter > 0 {
		return w.faults.BreakAfter, closingCut
	}
	return first - 1 + rand.IntN(max(1, events-first+1)), drawn
}
