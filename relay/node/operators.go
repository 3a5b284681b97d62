package node

import (
	"expvar"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"
)

// Health provides the checks behind the health routes.
type Health struct {
	// Ready returns nil if the process can do its work now, else the reason.
	Ready func() error
}

// OperatorsRouter returns the routes of the operators' address: /debug/vars,
// /debug/pprof, /healthz (the process runs) and /readyz (it can do its work).
func OperatorsRouter(health Health) chi.Router {
	mux := chi.NewRouter()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/debug/pprof/*", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := health.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}
