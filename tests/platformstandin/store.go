// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
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
	// PerSecond is how many calls are answered in each second; the rest get 429. 0 sets no bound.
	PerSecond int
}

// Store is a key-value store in memory that speaks the platform's protocol.
type Store struct {
	server    *httptest.Server
	links     *silentListener
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
	s.server = httptest.NewUnstartedServer(s)
	s.links = newSilentListener(s.server.Listener)
	s.server.Listener = s.links
	s.server.Start()
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

// SilenceOpen lets all open connections fall silent for good, without an end of any; new ones work.
func (s *Store) SilenceOpen() {
	s.links.silence()
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
