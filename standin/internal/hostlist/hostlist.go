// Package hostlist simulates the platform's list of hosts, which shows changes with
// a delay.
package hostlist

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/standin/internal/fault"
)

const (
	// maxBodyBytes limits the body of a change; it is enough for a few thousand hosts.
	maxBodyBytes = 8 << 20
	// maxPending limits the changes that are not visible yet, and the callers that
	// are counted.
	maxPending = 10000
)

// Host is one host of the list, as the protocol encodes it.
type Host struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	ControlAddress string `json:"controlAddress"`
	CallersAddress string `json:"callersAddress"`
	Endpoint       string `json:"endpoint"`
	Service        string `json:"service"`
	State          string `json:"state"`
}

// List is the body of GET /hosts and POST /hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Faults are the fault settings of POST /faults.
type Faults struct {
	// Empty returns an empty list.
	Empty bool `json:"empty"`
	// Wrong holds the IDs of hosts that the list omits.
	Wrong []string `json:"wrong"`
	// Down answers GET /hosts with 503.
	Down bool `json:"down"`
	// LagMillis is the delay until a change made from now on becomes visible.
	LagMillis int `json:"lagMillis"`
	// DelayMillis delays every answer of GET /hosts.
	DelayMillis int `json:"delayMillis"`
}

// Service is the simulated host list.
type Service struct {
	clock  clockwork.Clock
	faults fault.Knobs[Faults]

	mu      sync.Mutex
	hosts   map[string]Host
	pending []pendingChange // ordered by due time
	calls   map[string]int
}

// pendingChange is an edit of the list that becomes visible when it is due.
type pendingChange struct {
	due   time.Time
	apply func(hosts map[string]Host)
}

// New returns a Service that starts with the given hosts and shows changes after
// lag.
func New(clock clockwork.Clock, hosts []Host, lag time.Duration) *Service {
	service := &Service{clock: clock, hosts: map[string]Host{}, calls: map[string]int{}}
	replaceAll(hosts)(service.hosts)
	service.faults.Set(Faults{LagMillis: int(lag.Milliseconds())})
	return service
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/hosts", s.get)
	mux.Post("/hosts", s.post)
	mux.Put("/hosts/{id}", s.put)
	mux.Delete("/hosts/{id}", s.remove)
	mux.Handle("/faults", &s.faults)
	mux.Get("/ledger", s.ledger)
	return mux
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	s.countCall(r.UserAgent())
	knobs := s.faults.Get()
	if knobs.DelayMillis > 0 {
		s.clock.Sleep(time.Duration(knobs.DelayMillis) * time.Millisecond)
	}
	if knobs.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s.writeList(w, r, List{Hosts: s.visible(knobs)})
}

// writeList sends the list, or 304 if the caller's ETag matches it.
func (s *Service) writeList(w http.ResponseWriter, r *http.Request, list List) {
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Service) post(w http.ResponseWriter, r *http.Request) {
	var list List
	if !decode(w, r, &list) {
		return
	}
	s.enqueueChange(w, replaceAll(list.Hosts))
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	var host Host
	if !decode(w, r, &host) {
		return
	}
	host.ID = chi.URLParam(r, "id")
	s.enqueueChange(w, func(hosts map[string]Host) { hosts[host.ID] = host })
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	s.enqueueChange(w, func(hosts map[string]Host) { delete(hosts, id) })
}

func replaceAll(list []Host) func(map[string]Host) {
	return func(hosts map[string]Host) {
		clear(hosts)
		for _, host := range list {
			hosts[host.ID] = host
		}
	}
}

// enqueueChange queues a change until the current lag has passed.
func (s *Service) enqueueChange(w http.ResponseWriter, apply func(map[string]Host)) {
	lag := time.Duration(s.faults.Get().LagMillis) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		http.Error(w, "too many pending changes", http.StatusTooManyRequests)
		return
	}
	due := s.clock.Now().Add(lag)
	if n := len(s.pending); n > 0 && due.Before(s.pending[n-1].due) {
		due = s.pending[n-1].due // a shorter lag must not reorder changes
	}
	s.pending = append(s.pending, pendingChange{due: due, apply: apply})
	reply(w, struct{}{})
}

// visible applies the changes that are due and returns the list as callers see it,
// sorted by ID.
func (s *Service) visible(knobs Faults) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.pending) > 0 && !s.pending[0].due.After(now) {
		s.pending[0].apply(s.hosts)
		s.pending = s.pending[1:]
	}
	listed := []Host{}
	for _, host := range s.hosts {
		if !knobs.Empty && !slices.Contains(knobs.Wrong, host.ID) {
			listed = append(listed, host)
		}
	}
	slices.SortFunc(listed, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return listed
}

func (s *Service) countCall(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) < maxPending {
		s.calls[caller]++
	}
}

// ledger returns how often each caller fetched the list.
func (s *Service) ledger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, struct {
		Calls map[string]int `json:"calls"`
	}{s.calls})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
