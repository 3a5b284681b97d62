package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// versionsBody is the body of POST /versions: it changes the versions that answers
// may come from.
type versionsBody struct {
	Add    []string `json:"add"`
	Remove []string `json:"remove"`
	// AddAdapters maps an adapter's name to a version to add for it.
	AddAdapters map[string]string `json:"addAdapters"`
}

// Control returns the HTTP API that controls a running load: POST /versions,
// GET /summary and POST /stop, which calls stop.
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
	_ = json.NewEncoder(w).Encode(body) // fails only if the client disconnected
}
