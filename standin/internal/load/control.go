package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// versionsBody changes the versions that answers may bear.
type versionsBody struct {
	Add    []string `json:"add"`
	Remove []string `json:"remove"`
	// AddAdapters maps names of adapters to one more version of each.
	AddAdapters map[string]string `json:"addAdapters"`
}

// Control serves the knobs of a running load: POST /versions, GET /summary and
// POST /stop, which calls stop.
func (l *Load) Control(stop context.CancelFunc) http.Handler {
	router := chi.NewRouter()
	router.Post("/versions", l.serveVersions)
	router.Get("/summary", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Summary()) })
	router.Post("/stop", func(w http.ResponseWriter, _ *http.Request) {
		stop()
		writeJSON(w, struct{}{})
	})
	return router
}

func (l *Load) serveVersions(w http.ResponseWriter, r *http.Request) {
	var change versionsBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDirectory)).Decode(&change); err != nil {
		http.Error(w, `send {"add":["<version>"],"remove":["<version>"]}`, http.StatusBadRequest)
		return
	}
	for _, version := range change.Add {
		l.versions.add(version)
	}
	for _, version := range change.Remove {
		l.versions.remove(version, l.clock.Now())
	}
	for name, version := range change.AddAdapters {
		l.versions.addAdapter(name, version)
	}
	writeJSON(w, struct{}{})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client went away
}
