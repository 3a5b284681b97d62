// Package console serves the operators' web console. Its forms are rendered on
// the server, work without JavaScript and produce the document to submit.
package console

import (
	"context"
	"embed"
	"errors"
	"html/template"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxFormBytes limits the size of a posted form.
	maxFormBytes = 2 << 20
	// cookieName is the cookie that holds the operator's key. The key is in the
	// cookie because hosts keep no session state: any entry must be able to serve
	// the next request of a session.
	cookieName = "comfreyKey"
)

//go:embed page.html
var pages embed.FS

// Submission is a document that an operator submits through the console.
type Submission struct {
	Document     *wire.Document
	BaseRevision uint32
	SubmissionID string
	Operator     string
	FromAddress  string
	Reason       string
}

// Conflict lists the changes of both sides since the base revision.
type Conflict struct {
	Current uint32
	Theirs  []*wire.Change
	Yours   []*wire.Change
}

// Config holds the functions of the entry that the console calls.
type Config struct {
	// Authenticate returns the operator that the bearer key belongs to.
	Authenticate func(key string) (operator string, known bool)
	// Current returns the document in force, or nil if there is none.
	Current func() (doc *wire.Document, revision uint32)
	// Problems returns the problems of a document that parsing does not find.
	Problems func(doc *wire.Document) []document.Problem
	// Submit returns the new revision. If another operator changed the document
	// since the base revision, it returns a conflict together with the error.
	Submit func(ctx context.Context, sub Submission) (revision uint32, conflict *Conflict, err error)
}

// Console serves the pages under /console/.
type Console struct {
	cfg  Config
	page *template.Template
}

// New returns a Console with the given configuration.
func New(cfg Config) *Console {
	return &Console{cfg: cfg, page: template.Must(template.ParseFS(pages, "page.html"))}
}

// Routes registers the console's pages on the router.
func (c *Console) Routes(mux chi.Router) {
	mux.Get("/console/", c.showPage)
	mux.Post("/console/login", c.login)
	mux.Post("/console/logout", c.logout)
	mux.Post("/console/document", c.postForm)
}

// pageData is the data of the template page.html.
type pageData struct {
	Operator string
	Revision uint32 // in force
	Base     uint32 // revision that the form was created from
	Token    string // CSRF token
	// SubmissionID stays the same when a form is sent again, so that a form sent
	// twice counts as one submission.
	SubmissionID string
	Reason       string
	Notice       string
	Failure      string
	Remedy       string
	Messages     []string // problems that no field shows
	Conflict     *Conflict
	Sections     []sectionView
}

// showPage shows the form with the document in force, or the sign-in page.
func (c *Console) showPage(w http.ResponseWriter, r *http.Request) {
	operator, key, known := c.session(r)
	if !known {
		c.render(w, http.StatusOK, pageData{})
		return
	}
	doc, revision := c.cfg.Current()
	data := c.newFormPage(operator, key, doc, revision)
	if accepted := r.URL.Query().Get("accepted"); accepted != "" {
		data.Notice = "Accepted as revision " + accepted + "."
	}
	c.render(w, http.StatusOK, data)
}

// newFormPage returns a page whose form holds the given document.
func (c *Console) newFormPage(operator, key string, doc *wire.Document, revision uint32) pageData {
	if doc == nil {
		doc = blankDocument()
	}
	return pageData{
		Operator:     operator,
		Revision:     revision,
		Base:         revision,
		Token:        formToken(key),
		SubmissionID: uuid.NewString(),
		Sections:     viewSections(formOf(doc), nil),
	}
}

// postForm verifies the session and the CSRF token of a posted form.
func (c *Console) postForm(w http.ResponseWriter, r *http.Request) {
	operator, key, known := c.session(r)
	if !known {
		c.render(w, http.StatusUnauthorized, pageData{Failure: "You are not signed in.", Remedy: "Enter your operator key."})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	if err := r.ParseForm(); err != nil {
		http.Error(w, "cannot parse the form; send it again from the console", http.StatusBadRequest)
		return
	}
	if !tokenMatches(key, r.PostForm.Get("token")) {
		http.Error(w, "the form was not sent from this console; open the console and try again", http.StatusForbidden)
		return
	}
	c.handleForm(w, r, operator, key)
}

// handleForm checks the posted document and submits it if the operator pressed
// Submit.
func (c *Console) handleForm(w http.ResponseWriter, r *http.Request, operator, key string) {
	posted := readForm(r.PostForm)
	doc, problems := posted.document()
	if doc != nil {
		problems = append(problems, c.cfg.Problems(doc)...)
	}
	data := c.echoFormPage(r, operator, key, posted, problems)
	if len(problems) > 0 {
		c.render(w, http.StatusUnprocessableEntity, data)
		return
	}
	if r.PostForm.Get("action") != "submit" {
		data.Notice = "This document is valid. It is not submitted yet."
		c.render(w, http.StatusOK, data)
		return
	}
	c.submit(w, r, doc, data)
}

// echoFormPage returns a page with the posted values and the problems found in
// them.
func (c *Console) echoFormPage(r *http.Request, operator, key string, posted *form, problems []document.Problem) pageData {
	_, revision := c.cfg.Current()
	sections := viewSections(posted, problems)
	return pageData{
		Operator:     operator,
		Revision:     revision,
		Base:         parseBase(r.PostForm.Get("base")),
		Token:        formToken(key),
		SubmissionID: r.PostForm.Get("submissionId"),
		Reason:       r.PostForm.Get("reason"),
		Messages:     unmatchedMessages(posted, problems),
		Sections:     sections,
	}
}

// submit submits the document. On success it redirects to the form; otherwise it
// shows the error and, if there is one, the conflict.
func (c *Console) submit(w http.ResponseWriter, r *http.Request, doc *wire.Document, data pageData) {
	revision, conflict, err := c.cfg.Submit(r.Context(), Submission{
		Document:     doc,
		BaseRevision: data.Base,
		SubmissionID: data.SubmissionID,
		Operator:     data.Operator,
		FromAddress:  r.RemoteAddr,
		Reason:       data.Reason,
	})
	if err == nil {
		http.Redirect(w, r, "/console/?accepted="+formatRevision(revision), http.StatusSeeOther)
		return
	}
	data.Failure, data.Remedy = errorText(err)
	status := http.StatusServiceUnavailable
	if conflict != nil {
		status = http.StatusConflict
		data.Conflict = conflict
		// The next time, the form is a new submission based on the revision now
		// in force.
		data.Base = conflict.Current
		data.SubmissionID = uuid.NewString()
	}
	c.render(w, status, data)
}

// errorText returns the message and the remedy to show for an error.
func errorText(err error) (message, remedy string) {
	var problem *failure.Error
	if errors.As(err, &problem) {
		return problem.Message(), problem.Remedy()
	}
	return err.Error(), "Try again."
}

// render writes the page. Its headers forbid caching, scripts and framing.
func (c *Console) render(w http.ResponseWriter, status int, data pageData) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	w.WriteHeader(status)
	_ = c.page.Execute(w, data)
}
