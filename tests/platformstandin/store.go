// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the faults of a store. The zero value has none.
type StoreFaults struct {
	// Down makes the store answer every call with 503 and execute none.
	Down bool
	// Silent makes the store answer no call.
	Silent bool
	// LoseAnswers is how many of the next writes are executed and not answered.
	LoseAnswers int
	// LateWrites is how many of the next writes are not answered, and executed after LateBy.
	LateWrites int
	LateBy     time.Duration
	// Deaf makes waiting watches receive no events.
	Deaf bool
	// PerSecond is how many calls are served in each second; the others get 429. 0 means no limit.
	PerSecond int
}

// Store is an in-memory key-value store with the protocol of the users' platform.
type Store struct {
	server      *httptest.Server
	connections *stallableListener
	mux         *http.ServeMux
	mutex       sync.Mutex
	revision    int64
	compacted   int64
	items       map[string]item
	history     []item
	leases      map[int64]*lease
	nextLease   int64
	changed     chan struct{}
	faults      StoreFaults
	// era is how often the store came back from a copy; it is told in all answers.
	era int64
	// second is the Unix time of the second in which callsInSecond are counted.
	second        int64
	callsInSecond int
	closed        chan struct{}
}

type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// leaseCheckInterval is how often leases are checked for expiry.
const leaseCheckInterval = 20 * time.Millisecond

// NewStore starts a store on a port of the loopback address.
func NewStore() *Store {
	s := &Store{
		items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), nextLease: 100,
		closed: make(chan struct{}),
	}
	s.mux = s.routes()
	s.server = httptest.NewUnstartedServer(s)
	s.connections = newStallableListener(s.server.Listener)
	s.server.Listener = s.connections
	s.server.Start()
	go s.expireLeases()
	return s
}

// Close stops the store.
func (s *Store) Close() {
	close(s.closed)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address returns the address of the store as IP:PORT.
func (s *Store) Address() string {
	return s.server.Listener.Addr().String()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.notifyWatches()
}

// StallOpenConnections stalls all open connections permanently without closing them. New connections work.
func (s *Store) StallOpenConnections() {
	s.connections.stallOpen()
}

// DropHistory drops the history of changes, so that watches from before the present revision fail.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Copy is a copy of a store's items at a moment.
type Copy struct {
	revision int64
	items    map[string]item
	history  []item
}

// Copy copies the present items, with their revisions and the history of changes.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// ReturnFrom replaces everything by a copy, as a store that comes back from one: what was written since is lost, leases and their keys too,
// and the revisions after the copy are given out again. Open watches are cut.
func (s *Store) ReturnFrom(earlier Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.items, s.history = earlier.revision, maps.Clone(earlier.items), slices.Clone(earlier.history)
	s.leases = make(map[int64]*lease)
	maps.DeleteFunc(s.items, func(_ string, stored item) bool { return stored.Lease != 0 })
	s.notifyWatches()
}

// RevokeLeases removes all keys with leases without notifying the lease holders.
func (s *Store) RevokeLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, stored := range s.items {
		if stored.Lease != 0 {
			s.revision++
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// Put writes a key as the operator or a worker does, and returns its revision.
func (s *Store) Put(key string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.PutBytes(key, encoded)
}

// PutBytes writes any value of another writer, and returns its revision.
func (s *Store) PutBytes(key string, value []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notifyWatches()
	return s.revision
}

// Keys returns the keys that begin with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Remove removes a key, as the platform does with the entry of a worker that stopped its heartbeats.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// Value returns the value of a key.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stored, ok := s.items[key]
	return stored.Value, ok
}

// put writes a key at the current revision, which the caller has incremented.
func (s *Store) put(key string, value []byte, leaseID int64) {
	made := s.revision
	if former, ok := s.items[key]; ok {
		made = former.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: made, Lease: leaseID}
	s.history = append(s.history, s.items[key])
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

// notifyWatches wakes waiting watches so that they check for events.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case now := <-ticker.C:
			s.mutex.Lock()
			for id, granted := range s.leases {
				if now.After(granted.expires) {
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
	for key, stored := range s.items {
		if stored.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// exceedsRate counts a call and reports whether it exceeds the rate, if a rate is set.
func (s *Store) exceedsRate() bool {
	if s.faults.PerSecond == 0 {
		return false
	}
	if second := time.Now().Unix(); second != s.second {
		s.second, s.callsInSecond = second, 0
	}
	s.callsInSecond++
	return s.callsInSecond > s.faults.PerSecond
}
