// Package callers serves the callers' HTTP API of an entry: which entry to
// use, requests on models and calls of plain services. Its filters run in
// order: identify, limit, admit, choose, dispatch, relay, account.
package callers

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Config is what a Server needs from the program around it.
type Config struct {
	Self         *wire.Node      // this entry, with its incarnation
	View         *view.Holder    // what the entry knows of the house
	Pool         *peer.Pool      // connections to agents and other entries
	Store        *kv.Store       // the platform's service, for keys without an owner
	Clock        clockwork.Clock // the only source of time
	Log          *slog.Logger
	RoutePolicy  string        // a policy of package route; empty means affinity
	DirectoryTTL time.Duration // how long callers may keep the answer of /v1/entries
	Seed         uint64        // of the routing choices: the same seed repeats them
}

// Server serves callers and answers the other entries' claims.
type Server struct {
	cfg Config
}

// New returns a Server that serves nothing until its routes are mounted.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Routes adds the callers' API to r.
func (s *Server) Routes(r chi.Router) {
	missing := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "not served yet", http.StatusNotImplemented)
	}
	r.Get("/v1/entries", missing)
	r.Post("/v1/requests", missing)
	r.Post("/v1/services/{name}", missing)
}

// Claim answers another entry that asks to run a key owned by this one.
func (s *Server) Claim(context.Context, *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return nil, notYet()
}

// Settle takes another entry's word on how a claimed key ended.
func (s *Server) Settle(context.Context, *wire.SettleRequest) (*wire.SettleReply, error) {
	return nil, notYet()
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return 0 }

// Demand returns each customer's use of this entry over the last second.
func (s *Server) Demand() []*wire.Demand { return nil }

// Drain stops taking new requests, which get notRun with the spares, and
// returns when those in progress have ended or ctx has.
func (s *Server) Drain(context.Context) {}

func notYet() error {
	return failure.New(failure.Unavailable, "claims are not served yet", "ask again later")
}
