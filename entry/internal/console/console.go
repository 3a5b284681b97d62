// Package console serves the operators' forms. They are rendered on the
// server, work without scripts and make the document that is submitted.
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
	// maxFormBytes bounds a posted form.
	maxFormBytes = 2 << 20
	// cookieName holds the operator's key: hosts keep nothing, so that any
	// entry must be able to serve the next request of a session.
	cookieName = "comfreyKey"
)

//go:embed page.html
var pages embed.FS

// Submission is a document that an operator made by the forms.
type Submission struct {
	Document     *wire.Document
	BaseRevision uint32
	SubmissionID string
	Operator     string
	FromAddress  string
	Reason       string
}

// Conflict lists what both sides changed since the base revision.
type Conflict struct {
	Current uint32
	Theirs  []*wire.Change
	Yours   []*wire.Change
}

// Config is what the console needs from the entry.
type Config struct {
	// Authenticate returns the operator that the bearer key belongs to.
	Authenticate func(key string) (operator string, known bool)
	// Current returns the document in force; nil while there is none.
	Current func() (doc *wire.Document, revision uint32)
	// Problems returns what is wrong with a document besides its own checks.
	Problems func(doc *wire.Document) []document.Problem
	// Submit returns the new revision; where another operator was first, the
	// conflict is set beside the error.
	Submit func(ctx context.Context, sub Submission) (revision uint32, conflict *Conflict, err error)
}

// Console serves the pages below /console/.
type Console struct {
	cfg  Config
	page *template.Template
}

// New returns a Console.
func New(cfg Config) *Console {
	return &Console{cfg: cfg, page: template.Must(template.ParseFS(pages, "page.html"))}
}

// Routes adds the console's pages to the router.
func (c *Console) Routes(mux chi.Router) {
	mux.Get("/console/", c.showPage)
	mux.Post("/console/login", c.login)
	mux.Post("/console/logout", c.logout)
	mux.Post("/console/document", c.postForm)
}

// pageData is what page.html shows.
type pageData struct {
	Operator string
	Revision uint32 // in force
	Base     uint32 // that the form was made from
	Token    string // against forms posted from elsewhere
	// SubmissionID stays the same when a form is sent again, so that a form
	// sent twice is one submission.
	SubmissionID string
	Reason       string
	Notice       string
	Failure      string
	Remedy       string
	Messages     []string // problems that belong to no field
	Conflict     *Conflict
	Sections     []sectionView
}

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

func (c *Console) postForm(w http.ResponseWriter, r *http.Request) {
	operator, key, known := c.session(r)
	if !known {
		c.render(w, http.StatusUnauthorized, pageData{Failure: "You are not signed in.", Remedy: "Enter your operator key."})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	if err := r.ParseForm(); err != nil {
		http.Error(w, "the form cannot be read; send it again from the console", http.StatusBadRequest)
		return
	}
	if !tokenMatches(key, r.PostForm.Get("token")) {
		http.Error(w, "the form does not come from this console; open the console and try again", http.StatusForbidden)
		return
	}
	c.handleForm(w, r, operator, key)
}

// answerForm checks the posted document and, if asked, submits it.
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
		data.Notice = "Nothing is wrong with this document. It is not submitted yet."
		c.render(w, http.StatusOK, data)
		return
	}
	c.submit(w, r, doc, data)
}

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
		// The next sending is a new submission, over what is in force now.
		data.Base = conflict.Current
		data.SubmissionID = uuid.NewString()
	}
	c.render(w, status, data)
}

func errorText(err error) (message, remedy string) {
	var problem *failure.Error
	if errors.As(err, &problem) {
		return problem.Message(), problem.Remedy()
	}
	return err.Error(), "Try again."
}

func (c *Console) render(w http.ResponseWriter, status int, data pageData) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	w.WriteHeader(status)
	_ = c.page.Execute(w, data)
}
