// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the troubles of a store; the zero value is a sound one.
type StoreFaults struct {
	// Down answers every call with 503 and does nothing.
	Down bool
	// Silent never answers.
	Silent bool
	// LoseAnswers is how many coming writes are done and not answered.
	LoseAnswers int
	// LateWrites is how many coming writes are not answered and done after LateBy.
	LateWrites int
	LateBy     time.Duration
	// Deaf keeps waiting watches from hearing anything.
	Deaf bool
	// Delay holds every answer back.
	Delay time.Duration
	// PerSecond is how many calls are answered in each second; the rest get 429. 0 sets no bound.
	PerSecond int
	// TurnAway refuses calls from these callers' addresses (IP) only.
	TurnAway map[string]bool
}

// Store is a key-value store in memory that speaks the platform's protocol.
type Store struct {
	server    *httptest.Server
	mux       *http.ServeMux
	mutex     sync.Mutex
	revision  int64
	compacted int64
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
	faults    StoreFaults
	// second is the second that rated calls are counted in, and rated how many it has seen.
	second int64
	rated  int
	closed chan struct{}
}

type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// leasePace is how often leases are looked at.
const leasePace = 20 * time.Millisecond

// NewStore starts a store on a port of the loopback address.
func NewStore() *Store {
	s := &Store{
		items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), nextLease: 100,
		closed: make(chan struct{}),
	}
	s.mux = s.routes()
	s.server = httptest.NewServer(s)
	go s.expireLeases()
	return s
}

// Close ends the store.
func (s *Store) Close() {
	close(s.closed)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address gives IP:PORT.
func (s *Store) Address() string {
	return s.server.Listener.Addr().String()
}

// SetFaults replaces the troubles.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wake()
}

// DropHistory forgets all changes so far, as watches see it.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// RevokeLeases takes away all keys with leases, without a word to their holders.
func (s *Store) RevokeLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, one := range s.items {
		if one.Lease != 0 {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

// Put writes a key as the operator or a worker does, and gives its revision.
func (s *Store) Put(key string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.put(key, encoded, 0)
	s.wake()
	return s.revision
}

// Remove removes a key as a worker's silence does.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// Value gives the value of a key.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	one, ok := s.items[key]
	return one.Value, ok
}

// put writes a key at the present revision, which the caller has raised.
func (s *Store) put(key string, value []byte, leaseID int64) {
	made := s.revision
	if former, ok := s.items[key]; ok {
		made = former.Made
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Made: made, Lease: leaseID}
	s.history = append(s.history, s.items[key])
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
}

// wake lets waiting watches look again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	ticker := time.NewTicker(leasePace)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case now := <-ticker.C:
			s.mutex.Lock()
			for id, one := range s.leases {
				if now.After(one.expires) {
					s.endLease(id)
				}
			}
			s.mutex.Unlock()
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, one := range s.items {
		if one.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

// overRate counts a call against the rate, if one is set.
func (s *Store) overRate() bool {
	if s.faults.PerSecond == 0 {
		return false
	}
	if second := time.Now().Unix(); second != s.second {
		s.second, s.rated = second, 0
	}
	s.rated++
	return s.rated > s.faults.PerSecond
}

// ServeHTTP serves one call, or fails as the faults say.
func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	faults, limited := s.faults, s.overRate()
	s.mutex.Unlock()
	caller, _, _ := net.SplitHostPort(request.RemoteAddr)
	switch {
	case faults.Silent:
		<-request.Context().Done()
	case faults.Down || faults.TurnAway[caller]:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case limited:
		writer.WriteHeader(http.StatusTooManyRequests)
	default:
		time.Sleep(faults.Delay)
		s.mux.ServeHTTP(writer, request)
	}
}

func (s *Store) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("/-/kv-key", s.answer(s.key))
	mux.HandleFunc("/-/kv-range", s.answer(s.rangePage))
	mux.HandleFunc("/-/kv-watch", s.serveWatch)
	mux.HandleFunc("/-/kv-txn", s.answer(s.serveCommit))
	mux.HandleFunc("/-/kv-lease", s.answer(s.grant))
	mux.HandleFunc("/-/kv-keep/{id}", s.answer(s.keep))
	mux.HandleFunc("/-/kv-lease-end/{id}", s.answer(s.release))
	return mux
}

// answer makes a handler of a call that gives a status and, with 200 or 412, a body. The mutex is held.
func (s *Store) answer(call func(request *http.Request) (int, any)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		status, body := call(request)
		reply(writer, status, body)
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	if body == nil {
		writer.WriteHeader(status)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *Store) key(request *http.Request) (int, any) {
	one, ok := s.items[request.URL.Query().Get("private_key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, one
}

// itemsAPage is how many items a page holds; small, so that paging is tried.
const itemsAPage = 5

func (s *Store) rangePage(request *http.Request) (int, any) {
	query := request.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), itemsAPage)] {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "more": len(keys) > len(items), "at": s.revision}
}

func (s *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		if after < s.compacted && !s.faults.Deaf {
			s.mutex.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := s.eventsAfter(query.Get("path_prefix"), after)
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(writer, http.StatusOK, map[string]any{"events": []item{}, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after int64) []item {
	var events []item
	if s.faults.Deaf {
		return nil
	}
	for _, one := range s.history {
		if one.Revision > after && strings.HasPrefix(one.Key, prefix) {
			events = append(events, one)
		}
	}
	return events
}

type transaction struct {
	Expected []struct {
		Key      string `json:"private_key"`
		Revision int64  `json:"revision"`
	} `json:"expected_count"`
	Put []struct {
		Key   string `json:"private_key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

func (s *Store) serveCommit(request *http.Request) (int, any) {
	var body transaction
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		time.AfterFunc(s.faults.LateBy, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.commit(body)
		})
		panic(http.ErrAbortHandler)
	}
	status, answer := s.commit(body)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	return status, answer
}

// commit does a transaction whole or not at all.
func (s *Store) commit(body transaction) (int, any) {
	var differ []item
	for _, one := range body.Expected {
		if s.items[one.Key].Revision != one.Revision {
			differ = append(differ, s.items[one.Key])
		}
	}
	if len(differ) > 0 {
		return http.StatusPreconditionFailed, map[string]any{"items": differ}
	}
	for _, one := range body.Put {
		if _, ok := s.leases[one.Lease]; one.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
		if strings.HasPrefix(one.Key, "op/") || strings.HasPrefix(one.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	// All changes of a transaction have one revision.
	s.revision++
	for _, one := range body.Put {
		s.put(one.Key, one.Value, one.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(request *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.nextLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": body.TTL}
}

func (s *Store) keep(request *http.Request) (int, any) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	one, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	one.expires = time.Now().Add(one.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": one.ttl.Milliseconds()}
}

func (s *Store) release(request *http.Request) (int, any) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	if _, ok := s.leases[id]; !ok {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, map[string]any{}
}
