// Package operators serves the operators' HTTP API: the document, its history,
// the state of the deployment and drains. The console calls the same methods.
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
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 2 << 20
	// callTimeout bounds the work on one request, the service's slowness
	// included.
	callTimeout = 20 * time.Second
)

// Config is what the API needs.
type Config struct {
	View       *view.Holder
	Deployment *control.Deployment
	Docs       *store.Store
	Service    *kv.Store
	Clock      clockwork.Clock
	Log        *slog.Logger
	// BootstrapKeyHashes may act while no document is in force.
	BootstrapKeyHashes []string
}

// API answers operators.
type API struct {
	cfg Config
}

// New returns an API.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Routes adds the operators' API to the router, under its full paths.
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

// InForce returns the revision and document in force; nil where there is none.
// It reads the deployment and not the view: an operator who submits twice in a moment
// would else get the base before his own first change, and a conflict with it.
func (a *API) InForce() (uint32, *wire.Document) { return a.cfg.Deployment.InForce() }

// Validate returns everything wrong in a document's text, and the document
// where nothing is.
func (a *API) Validate(text []byte) (*wire.Document, []document.Problem) {
	doc, problems := document.Parse(text)
	if len(problems) > 0 {
		return nil, problems
	}
	return doc, a.Problems(doc)
}

// Problems returns what is wrong with a document in view of the hosts known.
func (a *API) Problems(doc *wire.Document) []document.Problem {
	return document.CheckAgainstHosts(doc, a.cfg.Deployment.Members().EnginesByDomain())
}

// Submit makes a document the next revision and brings it into force here.
func (a *API) Submit(ctx context.Context, sub store.Submission) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := a.cfg.Clock.Now()
	root, err := a.cfg.Docs.Submit(ctx, sub)
	return a.applyAccepted(ctx, root, start, err)
}

// Rollback makes the content of an old revision the next one.
func (a *API) Rollback(ctx context.Context, to uint32, sub store.Submission) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := a.cfg.Clock.Now()
	root, err := a.cfg.Docs.Rollback(ctx, to, sub)
	return a.applyAccepted(ctx, root, start, err)
}

func (a *API) applyAccepted(ctx context.Context, root *wire.Root, start time.Time, err error) (uint32, error) {
	if err != nil {
		return 0, err
	}
	a.cfg.Log.Info("document accepted", "revision", root.GetRevision(), "operator", root.GetAudit().GetOperator(),
		"fromAddress", root.GetAudit().GetFromAddress(), "reason", root.GetAudit().GetReason())
	if err := a.cfg.Deployment.OfferRoot(ctx, root, "operator", a.cfg.Docs.Fetch); err != nil {
		a.cfg.Log.Warn("accepted document not yet in force here", "revision", root.GetRevision(), "error", err)
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

// Audit returns the trail from a revision on.
func (a *API) Audit(ctx context.Context, from uint32, limit int) ([]*wire.Audit, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.cfg.Docs.Audit(ctx, from, limit)
}

// Drain takes a host out, or back.
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
	a.cfg.Log.Info("drain mark", "host", host, "drain", drain, "operator", operator, "fromAddress", fromAddress)
	return control.NewWatcher(a.cfg.Deployment, a.cfg.Docs, a.cfg.Service, nil).ReadDrains(ctx)
}

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
