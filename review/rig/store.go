package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePageItems is the largest number of items in one page of /kv-range.
const storePageItems = 500

// storeItem is one key of the store as it is sent to callers.
type storeItem struct {
	Key            string `json:"key"`
	Value          string `json:"value,omitempty"` // standard base64
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. Every acknowledged write is kept, and
// responses are linearizable.
type store struct {
	record *record

	mu        sync.Mutex
	revision  uint64
	items     map[string]storeItem
	history   []storeItem
	leases    map[uint64]*time.Timer
	ttls      map[uint64]time.Duration
	changed   chan struct{} // closed and replaced at each change
	nextLease uint64
}

func newStore(rec *record) *store {
	return &store{
		record: rec, items: map[string]storeItem{}, leases: map[uint64]*time.Timer{}, ttls: map[uint64]time.Duration{},
		changed: make(chan struct{}), nextLease: 1000,
	}
}

// put writes a key as the operator or a worker does and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, base64.StdEncoding.EncodeToString(text), 0)
	s.record.add("store", "written %s at revision %d: %s", key, s.revision, text)
	return time.Now()
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
	s.record.add("store", "removed %s at revision %d", key, s.revision)
	return time.Now()
}

// keys returns how many keys begin with the prefix.
func (s *store) keys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sortedKeys(prefix))
}

func (s *store) write(key, value string, lease uint64) {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.CreateRevision = old.CreateRevision
	}
	s.items[key] = item
	s.history = append(s.history, item)
	s.notify()
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) sortedKeys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// ServeHTTP handles one call of a process of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/kv-key" && r.Method == http.MethodGet:
		s.serveKey(w, r)
	case path == "/kv-range" && r.Method == http.MethodGet:
		s.serveRange(w, r)
	case path == "/kv-watch" && r.Method == http.MethodGet:
		s.serveWatch(w, r)
	case path == "/kv-txn" && r.Method == http.MethodPost:
		s.serveTxn(w, r)
	case path == "/kv-lease" && r.Method == http.MethodPost:
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/") && r.Method == http.MethodPost:
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/") && r.Method == http.MethodDelete:
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	found, truncated := []storeItem{}, false
	s.mu.Lock()
	for _, key := range s.sortedKeys(r.URL.Query().Get("path_prefix")) {
		if key <= after {
			continue
		}
		if len(found) == storePageItems {
			truncated = true
			break
		}
		found = append(found, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, "as_of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("path_prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			continue
		case <-timeout:
		}
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
		return
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []storeItem{}
	matches := true
	for _, cond := range body.Precondition {
		item, ok := s.items[cond.Key]
		if ok {
			current = append(current, item)
		}
		matches = matches && item.Revision == cond.Revision
	}
	if !matches {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, one := range body.Writes {
		if strings.HasPrefix(one.Key, "op/") || strings.HasPrefix(one.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if one.Lease != 0 && s.leases[one.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, one := range body.Writes {
		s.write(one.Key, one.Value, one.Lease)
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	lease, ttl := s.nextLease, time.Duration(body.TTL)*time.Millisecond
	s.ttls[lease] = ttl
	s.leases[lease] = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(lease)
	})
	writeJSON(w, http.StatusOK, map[string]any{"lease": lease, "ttl_ms": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	lease, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[lease] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[lease].Reset(s.ttls[lease])
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": s.ttls[lease].Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	lease, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[lease] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(lease)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// endLease ends a lease and removes its keys. The caller holds s.mu.
func (s *store) endLease(lease uint64) {
	timer := s.leases[lease]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(s.leases, lease)
	delete(s.ttls, lease)
	for _, key := range s.sortedKeys("") {
		if s.items[key].Lease == lease {
			s.delete(key)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// listen serves HTTP at an address until the program ends.
func listen(address string, handler http.Handler) (*http.Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(lis) }()
	return server, nil
}
