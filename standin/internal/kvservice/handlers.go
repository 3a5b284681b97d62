package kvservice

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

// maxWait limits the wait time that a watch may request.
const maxWait = 5 * time.Minute

type entryBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type revisionBody struct {
	Revision uint64 `json:"revision"`
}

type listBody struct {
	Entries  []entryBody `json:"entries"`
	Revision uint64      `json:"revision"`
}

type watchBody struct {
	Changes  []entryBody `json:"changes"`
	Revision uint64      `json:"revision"`
}

type leaseBody struct {
	Lease string `json:"lease"`
}

func newEntryBody(entry kv.Entry) entryBody {
	return entryBody{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision(), Deleted: entry.Deleted()}
}

func entryBodies(found []kv.Entry) []entryBody {
	out := make([]entryBody, 0, len(found))
	for _, entry := range found {
		out = append(out, newEntryBody(entry))
	}
	return out
}

// keyOf returns the key in the path or the prefix in the query.
func keyOf(r *http.Request) string {
	if key, found := strings.CutPrefix(r.URL.Path, "/kv/"); found {
		return key
	}
	return r.URL.Query().Get("prefix")
}

func (s *Service) get(r *http.Request) answer {
	entry, found := s.memory.Get(keyOf(r))
	if !found {
		return answer{status: http.StatusNotFound}
	}
	return answer{http.StatusOK, newEntryBody(entry)}
}

func (s *Service) list(r *http.Request) answer {
	found, revision := s.memory.List(keyOf(r))
	return answer{http.StatusOK, listBody{Entries: entryBodies(found), Revision: revision}}
}

func (s *Service) put(r *http.Request) answer {
	condition, err := uintParam(r, "ifRevision")
	if err != nil {
		return answer{http.StatusBadRequest, err.Error()}
	}
	value, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, kv.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return answer{http.StatusRequestEntityTooLarge, "the value exceeds 1 MiB"}
	}
	if err != nil {
		return answer{}
	}
	revision, err := s.memory.Swap(keyOf(r), value, condition, r.URL.Query().Get("lease"))
	return answerFor(revisionBody{Revision: revision}, err)
}

func (s *Service) remove(r *http.Request) answer {
	condition, err := uintParam(r, "ifRevision")
	if err != nil {
		return answer{http.StatusBadRequest, err.Error()}
	}
	err = s.memory.Delete(keyOf(r), condition)
	entry, _ := s.memory.Get(keyOf(r))
	return answerFor(revisionBody{Revision: entry.Revision()}, err)
}

// watch returns the changes after a revision, or an empty list after the wait time.
// Status 0 in the answer closes the connection without a reply.
func (s *Service) watch(r *http.Request) answer {
	after, err := uintParam(r, "after")
	if err != nil {
		return answer{http.StatusBadRequest, err.Error()}
	}
	millis, err := uintParam(r, "waitMillis")
	if err != nil {
		return answer{http.StatusBadRequest, err.Error()}
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	return s.waitForChanges(r, after, s.clock.After(wait), s.droppedSignal())
}

// waitForChanges blocks until there are changes to report, the timeout passes, or
// the watch is dropped.
func (s *Service) waitForChanges(r *http.Request, after uint64, timeout <-chan time.Time, dropped <-chan struct{}) answer {
	for {
		found, revision, changed, err := s.memory.Changes(keyOf(r), after)
		silent := s.faults.Get().WatchSilent
		if err != nil {
			return answerFor(nil, err)
		}
		if !silent && (len(found) > 0 || after > revision) {
			return answer{http.StatusOK, watchBody{Changes: entryBodies(found), Revision: revision}}
		}
		select {
		case <-changed:
		case <-dropped:
			return answer{}
		case <-r.Context().Done():
			return answer{}
		case <-timeout:
			if s.faults.Get().WatchSilent {
				timeout = nil // block until the client disconnects or the watch is dropped
				continue
			}
			return answer{http.StatusOK, watchBody{Changes: []entryBody{}, Revision: revision}}
		}
	}
}

func (s *Service) grant(r *http.Request) answer {
	millis, err := uintParam(r, "ttlMillis")
	if err != nil || millis == 0 {
		return answer{http.StatusBadRequest, "ttlMillis is missing"}
	}
	return answer{http.StatusOK, leaseBody{Lease: s.memory.Grant(time.Duration(millis) * time.Millisecond)}}
}

func (s *Service) keepAlive(r *http.Request) answer {
	return answerFor(struct{}{}, s.memory.KeepAlive(chi.URLParam(r, "id")))
}

func (s *Service) revoke(r *http.Request) answer {
	s.memory.Revoke(chi.URLParam(r, "id"))
	return answer{http.StatusOK, struct{}{}}
}

// uintParam parses an unsigned integer from the query.
func uintParam(r *http.Request, name string) (uint64, error) {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0, failure.Wrap(err, failure.Invalid, name+" is missing or not a number", "give "+name+" in the query")
	}
	return value, nil
}

// answerFor maps an error of the store to the protocol's HTTP status.
func answerFor(body any, err error) answer {
	if err == nil {
		return answer{http.StatusOK, body}
	}
	switch failure.KindOf(err) {
	case failure.Conflict:
		return answer{http.StatusConflict, body}
	case failure.NotFound:
		return answer{http.StatusNotFound, nil}
	case failure.Stale:
		return answer{http.StatusGone, nil}
	default:
		return answer{http.StatusBadRequest, err.Error()}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
