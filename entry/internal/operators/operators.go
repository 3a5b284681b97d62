// Package operators serves the operators' HTTP API: the document, its history,
// the state of the deployment and host drains. The console calls the same
// methods.
package operators

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/control"
	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 2 << 20
	// callTimeout limits the work on one request, including the time spent
	// waiting for the key-value service.
	callTimeout = 20 * time.Second
)

// Config holds the dependencies and settings of the API.
type Config struct {
	View       *view.Holder
	Deployment *control.Deployment
	Docs       *store.Store
	Service    *kv.Store
	Clock      clockwork.Clock
	Log        *slog.Logger
	// BootstrapKeyHashes are the hashes of keys that are valid only while no
	// document is in force.
	BootstrapKeyHashes []string
}

// API implements the operators' API.
type API struct {
	cfg Config
}

// New returns an API with the given configuration.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Routes registers the API's handlers on the router, under their full paths.
func (a *API) Routes(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(a.requireOperator)
		r.Get("/v1/document", a.getDocument)
		r.Post("/v1/document", a.postDocument)
		r.Post("/v1/document/validate", a.postValidate)
		r.Get("/v1/document/diff", a.getDiff)
		r.Post("/v1/document/rollback", a.postRollback)
		r.Get("/v1/status", a.getStatus)
		r.Get("/v1/rollout", a.getRollout)
		r.Post("/v1/hosts/{id}/drain", a.postDrain)
		r.Get("/v1/audit", a.getAudit)
	})
}

// InForce returns the revision and the document in force, or nil if there is none.
// It reads the deployment, because the view is rebuilt with a delay. With the
// view, an operator who submits twice in quick succession would get a base older
// than their own first change, and a conflict with that change.
func (a *API) InForce() (uint32, *wire.Document) { return a.cfg.Deployment.InForce() }

// Validate parses and checks a document. It returns all problems found, or the
// document if there are none.
func (a *API) Validate(text []byte) (*wire.Document, []document.Problem) {
	doc, problems := document.Parse(text)
	if len(problems) > 0 {
		return nil, problems
	}
	return doc, a.Problems(doc)
}

// Problems checks the document against the known hosts.
func (a *API) Problems(doc *wire.Document) []document.Problem {
	return document.CheckAgainstHosts(doc, a.cfg.Deployment.Members().EnginesByDomain())
}

// Submit makes a document the next revision and puts it into force on this entry.
func (a *API) Submit(ctx context.Context, sub store.Submission) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := a.cfg.Clock.Now()
	root, err := a.cfg.Docs.Submit(ctx, sub)
	return a.applyAccepted(ctx, root, start, err)
}

// Rollback submits the document of an old revision as the next revision.
func (a *API) Rollback(ctx context.Context, to uint32, sub store.Submission) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := a.cfg.Clock.Now()
	root, err := a.cfg.Docs.Rollback(ctx, to, sub)
	return a.applyAccepted(ctx, root, start, err)
}

// applyAccepted puts an accepted root into force on this entry and returns its
// revision. An entry that cannot load it yet only logs a warning, because the
// document is already accepted.
func (a *API) applyAccepted(ctx context.Context, root *wire.Root, start time.Time, err error) (uint32, error) {
	if err != nil {
		return 0, err
	}
	a.cfg.Log.Info("document accepted", "revision", root.GetRevision(), "operator", root.GetAudit().GetOperator(),
		"fromAddress", root.GetAudit().GetFromAddress(), "reason", root.GetAudit().GetReason())
	if err := a.cfg.Deployment.OfferRoot(ctx, root, "operator", a.cfg.Docs.Fetch); err != nil {
		a.cfg.Log.Warn("accepted document is not yet in force on this entry", "revision", root.GetRevision(), "error", err)
	}
	a.cfg.Deployment.Confirm(root.GetRevision(), start)
	return root.GetRevision(), nil
}

// Diff returns the changes between two revisions.
func (a *API) Diff(ctx context.Context, from, to uint32) ([]*wire.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, before, err := a.cfg.Docs.Revision(ctx, from)
	if err != nil {
		return nil, err
	}
	_, after, err := a.cfg.Docs.Revision(ctx, to)
	if err != nil {
		return nil, err
	}
	return document.Diff(before, after), nil
}

// Audit returns up to limit audit records, starting at revision from.
func (a *API) Audit(ctx context.Context, from uint32, limit int) ([]*wire.Audit, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.cfg.Docs.Audit(ctx, from, limit)
}

// Drain takes a host out of service, or puts it back if drain is false.
func (a *API) Drain(ctx context.Context, host string, drain bool, operator, fromAddress string) error {
	if !a.knowsHost(host) {
		return failure.New(failure.NotFound, "no host is called "+host, "list the hosts with the status call")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	mark := control.DrainMark{Drain: drain, Operator: operator, FromAddress: fromAddress}
	if err := control.MarkDrain(ctx, a.cfg.Service, a.cfg.Clock, host, mark); err != nil {
		return err
	}
	a.cfg.Log.Info("drain mark written", "host", host, "drain", drain, "operator", operator, "fromAddress", fromAddress)
	return control.NewWatcher(a.cfg.Deployment, a.cfg.Docs, a.cfg.Service, nil).ReadDrains(ctx)
}

// knowsHost reports whether the host has reported or is assigned in the plan.
func (a *API) knowsHost(id string) bool {
	snap, _ := a.cfg.View.Load()
	for _, host := range snap.Hosts {
		if host.Report().GetNode().GetId() == id {
			return true
		}
	}
	for _, assignment := range snap.Plan.GetAssignments() {
		if assignment.GetHost() == id {
			return true
		}
	}
	return false
}
