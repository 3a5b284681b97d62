package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It is never disturbed.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// put writes a key as the operator or a worker does. Its return is the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, text, 0)
	return time.Now()
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	written := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		written.CreateRevision = old.CreateRevision
	}
	s.items[key] = written
	s.history = append(s.history, written)
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.leases[id]; held != nil {
		held.timer.Stop()
	}
	delete(s.leases, id)
	var keys []string
	for key, one := range s.items {
		if one.Lease == id {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		s.remove(key)
	}
}

// keys returns the keys with a prefix, sorted. s.mu must be held.
func (s *store) keys(prefix string) []string {
	var found []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	sort.Strings(found)
	return found
}

// registeredEntries counts the entries that registered themselves.
func (s *store) registeredEntries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys("comfrey/entries/"))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.get(w, r)
	case path == "/kv-range":
		s.list(w, r)
	case path == "/kv-watch":
		s.watch(w, r)
	case path == "/kv-txn":
		s.txn(w, r)
	case path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, found)
}

// pageItems is the most items in one response.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items, truncated := []item{}, false
	for _, key := range s.keys(r.URL.Query().Get("path_prefix")) {
		if key <= after {
			continue
		}
		if truncated = len(items) == pageItems; truncated {
			break
		}
		items = append(items, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, one := range s.history {
			if one.Revision > after && strings.HasPrefix(one.Key, query.Get("path_prefix")) {
				events = append(events, one)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timeout:
			ended = true
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range body.Precondition {
		if s.items[row.Key].Revision != row.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[row.Key]}})
			return
		}
	}
	for _, row := range body.Writes {
		if strings.HasPrefix(row.Key, "op/") || strings.HasPrefix(row.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if row.Lease != 0 && s.leases[row.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, row := range body.Writes {
		s.write(row.Key, row.Value, row.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.timer.Reset(held.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
