// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// KVFaults are the faults of a key-value service.
type KVFaults struct {
	// Down makes the service answer every call with 503 and execute none.
	Down bool
	// LoseAnswers is how many of the next writes are executed and not answered.
	LoseAnswers int
}

// KV is an in-memory key-value service with the HTTP/JSON form of the etcd v3 protocol.
type KV struct {
	mutex    sync.Mutex
	revision int64
	pairs    map[string]kv.Pair
	leases   map[int64]*kvLease
	nextID   int64
	watchers map[*kvWatcher]bool
	faults   KVFaults
	reads    int64
	writes   int64
	bytes    int64
	largest  int
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

type kvWatcher struct {
	key    string
	events chan kv.WatchEvent
}

// NewKV returns an empty service.
func NewKV() *KV {
	return &KV{
		pairs: make(map[string]kv.Pair), leases: make(map[int64]*kvLease), watchers: make(map[*kvWatcher]bool),
		nextID: 1000,
	}
}

// SetFaults replaces the faults. With Down, all watches end.
func (s *KV) SetFaults(f KVFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	if !f.Down {
		return
	}
	for w := range s.watchers {
		close(w.events)
		delete(s.watchers, w)
	}
}

// Usage returns the numbers of reads, writes and written bytes so far, and the size of the largest value.
func (s *KV) Usage() (reads, writes, bytes int64, largest int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads, s.writes, s.bytes, s.largest
}

// Dump returns a copy of all pairs.
func (s *KV) Dump() map[string]kv.Pair {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.pairs)
}

// Restore replaces all pairs by those of an earlier Dump.
func (s *KV) Restore(pairs map[string]kv.Pair) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pairs = make(map[string]kv.Pair, len(pairs))
	for key, pair := range pairs {
		s.pairs[key] = pair
		s.revision++
		s.notify(kv.WatchEvent{KV: pair}, key)
	}
}

// Handler returns a handler for the etcd paths that the daemon uses.
func (s *KV) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", serveKV(s, false, s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", serveKV(s, true, s.txn))
	mux.HandleFunc("POST /v3/lease/grant", serveKV(s, true, s.grantLease))
	mux.HandleFunc("POST /v3/lease/keepalive", serveKV(s, true, s.keepLeaseAlive))
	mux.HandleFunc("POST /v3/lease/revoke", serveKV(s, true, s.revokeLease))
	mux.HandleFunc("POST /v3/watch", s.watch)
	return mux
}

// serveKV returns a handler that decodes a call, executes it and encodes the answer, unless a fault prevents this.
func serveKV[In, Out any](s *KV, write bool, do func(In) Out) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var in In
		if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mutex.Lock()
		if s.faults.Down {
			s.mutex.Unlock()
			http.Error(w, "the service is down", http.StatusServiceUnavailable)
			return
		}
		s.expire()
		if write {
			s.writes++
		} else {
			s.reads++
		}
		out := do(in)
		lose := write && s.faults.LoseAnswers > 0
		if lose {
			s.faults.LoseAnswers--
		}
		s.mutex.Unlock()
		if lose {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

// expire ends leases whose TTL has passed.
func (s *KV) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *KV) endLease(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	for key := range l.keys {
		s.remove(key)
	}
}

func (s *KV) header() kv.Header {
	return kv.Header{Revision: s.revision}
}

func (s *KV) rangeKeys(r kv.RangeRequest) kv.RangeResponse {
	out := kv.RangeResponse{Header: s.header()}
	for _, key := range s.matching(r.Key, r.RangeEnd) {
		out.KVs = append(out.KVs, s.pairs[key])
	}
	out.Count = int64(len(out.KVs))
	return out
}

func (s *KV) matching(key, end []byte) []string {
	if len(end) == 0 {
		if _, ok := s.pairs[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	var keys []string
	for k := range s.pairs {
		if k >= string(key) && k < string(end) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *KV) txn(r kv.TxnRequest) kv.TxnResponse {
	ok := true
	for _, c := range r.Compare {
		ok = ok && s.compareHolds(c)
	}
	ops := r.Success
	if !ok {
		ops = r.Failure
	}
	if ok && slices.ContainsFunc(ops, func(op kv.Op) bool { return op.Put != nil || op.Delete != nil }) {
		s.revision++
	}
	out := kv.TxnResponse{Succeeded: ok}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op))
	}
	out.Header = s.header()
	return out
}

func (s *KV) compareHolds(c kv.Compare) bool {
	p := s.pairs[string(c.Key)]
	switch c.Target {
	case kv.TargetMod:
		return p.ModRevision == c.ModRevision
	case kv.TargetCreate:
		return p.CreateRevision == c.CreateRevision
	case kv.TargetValue:
		return string(p.Value) == string(c.Value)
	}
	return false
}

func (s *KV) apply(op kv.Op) kv.OpResponse {
	switch {
	case op.Range != nil:
		r := s.rangeKeys(*op.Range)
		return kv.OpResponse{Range: &r}
	case op.Put != nil:
		s.put(*op.Put)
	case op.Delete != nil:
		for _, key := range s.matching(op.Delete.Key, op.Delete.RangeEnd) {
			s.remove(key)
		}
	}
	return kv.OpResponse{}
}

func (s *KV) put(r kv.PutRequest) {
	key := string(r.Key)
	p, existed := s.pairs[key]
	if !existed {
		p = kv.Pair{Key: r.Key, CreateRevision: s.revision}
	}
	p.Value, p.ModRevision, p.Lease = r.Value, s.revision, r.Lease
	p.Version++
	s.pairs[key] = p
	s.bytes += int64(len(r.Value))
	s.largest = max(s.largest, len(r.Value))
	if l := s.leases[r.Lease]; l != nil {
		l.keys[key] = true
	}
	s.notify(kv.WatchEvent{KV: p}, key)
}

func (s *KV) remove(key string) {
	p, ok := s.pairs[key]
	if !ok {
		return
	}
	delete(s.pairs, key)
	s.notify(kv.WatchEvent{Type: "DELETE", KV: kv.Pair{Key: p.Key, ModRevision: s.revision}}, key)
}

func (s *KV) notify(e kv.WatchEvent, key string) {
	for w := range s.watchers {
		if w.key != key {
			continue
		}
		select {
		case w.events <- e:
		default:
		}
	}
}

func (s *KV) grantLease(r kv.LeaseGrantRequest) kv.LeaseResponse {
	s.nextID++
	ttl := time.Duration(r.TTL) * time.Second
	s.leases[s.nextID] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	return kv.LeaseResponse{Header: s.header(), ID: s.nextID, TTL: r.TTL}
}

func (s *KV) keepLeaseAlive(r kv.LeaseRequest) kv.KeepAliveResponse {
	l := s.leases[r.ID]
	if l == nil {
		return kv.KeepAliveResponse{Result: kv.LeaseResponse{Header: s.header(), ID: r.ID}}
	}
	l.expires = time.Now().Add(l.ttl)
	return kv.KeepAliveResponse{Result: kv.LeaseResponse{Header: s.header(), ID: r.ID, TTL: int64(l.ttl / time.Second)}}
}

func (s *KV) revokeLease(r kv.LeaseRequest) kv.LeaseResponse {
	s.endLease(r.ID)
	return kv.LeaseResponse{Header: s.header(), ID: r.ID}
}
