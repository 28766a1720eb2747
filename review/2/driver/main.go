//go:build review

// Command driver plays case 2: long request bodies, of which a few are answered before they are in.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/review/standin"
	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2

	host, service = "site.example", "api"
	servers       = 6
	faultyServers = 3
	// earlyEvery makes one of so many requests at a faulty server an early one: a share of 0.02 at most.
	earlyEvery      = 50
	callersPerEntry = 6
	callersDeadline = 4 * time.Second
	playFor         = 40 * time.Second
	// faultyFor is how long servers answer early, spellEvery how often.
	faultyFor  = 5 * time.Second
	spellEvery = 7 * time.Second
	// bodyBytes is below the max_body_bytes of the limits, pieceBytes and piecePause are the pace of an upload of some 10 MB/s.
	bodyBytes  = 900 << 10
	pieceBytes = 32 << 10
	piecePause = 3 * time.Millisecond
	// readBefore is what a faulty server reads before an early answer, resumeAfter when it goes on.
	readBefore  = 300 << 10
	resumeAfter = 5 * time.Millisecond
	// answerBytes is the largest answer of the plain services in the site file.
	answerBytes = 4800
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func configuration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "tile", "hostname": host, "path_prefix": "/tile/", "type": "unsafe", "timeout_ms": callersDeadline.Milliseconds(),
			"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": 1, "resumable": false, "sticky": false,
		}},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_connections": 360, "protocol": "h1"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// play is one run of the case.
type play struct {
	record  *standin.Record
	trouble bool
	// started is when the traffic began.
	started                                              time.Time
	sent, answered, failed, early, broken, wholeButWrong atomic.Int64
}

func run(program, folder string, trouble bool) int {
	record, err := standin.NewRecord(folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	store := platformstandin.NewStore()
	defer store.Close()
	store.Put(platformstandin.ConfigurationKey, configuration())
	p := &play{record: record, trouble: trouble}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range servers {
		s := &server{play: p, id: fmt.Sprintf("i-server%d", i+1), isFaulty: trouble && i < faultyServers}
		if err := s.start(fmt.Sprintf("127.0.13.%d", i+1), zones[i%len(zones)], store); err != nil {
			record.Sayf("%v", err)
			return exitNotRun
		}
		defer func() { _ = s.listener.Close() }()
	}
	entries, err := standin.NewEntries(program, temporary, zones, "127.0.14.%d", func(int) string { return store.Address() })
	if err != nil {
		record.Sayf("%v", err)
		return exitNotRun
	}
	for _, e := range entries {
		defer e.Kill()
		if err := e.Start(); err != nil {
			record.Sayf("%v", err)
			return exitNotRun
		}
	}
	if !standin.AwaitReady(entries, 20*time.Second) {
		record.Sayf("the entry processes do not become ready")
		return exitNotRun
	}
	p.started = time.Now()
	end := p.started.Add(playFor)
	var open sync.WaitGroup
	for _, e := range entries {
		for range callersPerEntry {
			open.Go(func() {
				for time.Now().Before(end) {
					p.call(e)
				}
			})
		}
	}
	open.Wait()
	record.Sayf("requests %d, answered with 200 %d, otherwise %d; answered early %d, UNASKED broken in %d, of them bodies that ended as complete %d",
		p.sent.Load(), p.answered.Load(), p.failed.Load(), p.early.Load(), p.broken.Load(), p.wholeButWrong.Load())
	switch {
	case p.broken.Load() > 0:
		return exitBroken
	case p.answered.Load() < p.sent.Load()/4 || (trouble && p.early.Load() == 0):
		record.Sayf("too few requests were served for a judgement")
		return exitNotRun
	default:
		return exitHeld
	}
}

// bodyOf returns the body of a request: each 16 bytes have the request's id or, by turns, their position in the body.
func bodyOf(id string) []byte {
	var body bytes.Buffer
	for body.Len() < bodyBytes {
		fmt.Fprintf(&body, "%s%016d", id, body.Len())
	}
	return body.Bytes()
}

// call uploads one long body in chunks and reads the answer meanwhile.
func (p *play) call(entry *standin.Entry) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	conn, err := net.DialTimeout("tcp4", entry.Callers(), time.Second)
	if err != nil {
		p.record.Linef("send   %s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callersDeadline))
	p.sent.Add(1)
	p.record.Linef("send   %s to %s", id, entry.Name)
	uploaded := make(chan struct{})
	go func() {
		defer close(uploaded)
		_ = upload(conn, id)
	}()
	defer func() { <-uploaded }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		p.failed.Add(1)
		p.record.Linef("answer %s: %v", id, err)
		return
	}
	content, err := io.ReadAll(response.Body)
	p.record.Linef("answer %s: status %d, %d bytes, seal %q, end %v", id, response.StatusCode, len(content), response.Header.Get(standin.Wire.Seal), err)
	if response.StatusCode == http.StatusOK {
		p.answered.Add(1)
	} else {
		p.failed.Add(1)
	}
}

func upload(conn net.Conn, id string) error {
	head := fmt.Sprintf("POST /tile/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		host, standin.Wire.RequestID, id, callersDeadline.Milliseconds())
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	body := bodyOf(id)
	for from := 0; from < len(body); from += pieceBytes {
		piece := body[from:min(len(body), from+pieceBytes)]
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return err
		}
		time.Sleep(piecePause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// server is a server of the plain service. A faulty one answers a few requests before it has read their bodies, and reads on later.
type server struct {
	play     *play
	id       string
	isFaulty bool
	// faulty counts the requests that came while the server was faulty.
	faulty   atomic.Int64
	listener net.Listener
}

func (s *server) start(ip, zone string, store *platformstandin.Store) error {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	s.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	store.Put(platformstandin.EndpointKey(s.id), map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "1", "slots": 20, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0,
	})
	return nil
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !s.answer(conn, request) {
			return
		}
	}
}

// answer answers one request and reports whether the connection can carry another one.
func (s *server) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get(standin.Wire.RequestID)
	switch {
	case request.Header.Get(standin.Wire.ExpectInstance) != s.id:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", standin.Wire.RequestID, id, s.id)
		return false && err == nil
	case request.Method == http.MethodGet:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 2\r\n\r\n{}", s.id)
		return err == nil
	}
	isEarly := s.isFaulty && time.Since(s.play.started)%spellEvery < faultyFor && s.faulty.Add(1)%earlyEvery == 0
	status := "200 OK"
	if isEarly && s.play.early.Add(1)%2 == 0 {
		status = "413 Content Too Large"
	}
	text := s.id + " answers " + id + "\n"
	text += strings.Repeat("=", answerBytes-len(text))
	answer := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s", status, standin.Wire.RequestID, id, standin.Wire.Seal, s.id, id, len(text), text)
	received := make([]byte, 0, bodyBytes)
	var err error
	if isEarly {
		received = received[:readBefore]
		if _, err = io.ReadFull(request.Body, received); err != nil {
			return false
		}
		s.play.record.Linef("run    %s at %s is answered with %s after %d bytes", id, s.id, status, readBefore)
		if _, err = io.WriteString(conn, answer); err != nil {
			return false
		}
		time.Sleep(resumeAfter)
	} else {
		s.play.record.Linef("run    %s at %s", id, s.id)
	}
	rest, err := io.ReadAll(request.Body)
	s.check(id, append(received, rest...), err == nil, isEarly)
	if err != nil {
		return false
	}
	if !isEarly {
		_, err = io.WriteString(conn, answer)
	}
	return err == nil
}

// check compares what arrived with what the caller sent. A body that ended early is no fault here, other bytes in it are.
func (s *server) check(id string, received []byte, ended, isEarly bool) {
	expected := bodyOf(id)
	same := 0
	for same < min(len(received), len(expected)) && received[same] == expected[same] {
		same++
	}
	isWrong := same < len(received) || (ended && len(received) != len(expected))
	if isWrong {
		s.play.broken.Add(1)
		if ended {
			s.play.wholeButWrong.Add(1)
		}
		from := same / 16 * 16
		s.play.record.Linef("UNASKED %s at %s: of %d bytes that arrived, those from %d on are not the caller's: %q in place of %q; the body ended as complete: %v",
			id, s.id, len(received), same, received[from:min(len(received), from+32)], expected[from:min(len(expected), from+32)], ended)
		return
	}
	if isEarly {
		s.play.record.Linef("run    %s at %s: %d bytes arrived, all as the caller sent them; the body ended as complete: %v", id, s.id, len(received), ended)
	}
}
