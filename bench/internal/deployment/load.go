package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/bench/internal/process"
)

// LoadOptions configure what the callers send. Zero values keep the defaults of the
// stand-in, except for fractions, where 0 means none.
type LoadOptions struct {
	// Direct sends requests directly to the engines and bypasses the system.
	Direct bool
	// Customers send the requests, divided by their Share.
	Customers []LoadCustomer
	// Callers is the number of callers of each customer; each caches the address
	// of an entry.
	Callers int
	// Rate is the mean number of arrivals per second, Time their duration.
	Rate float64
	Time time.Duration
	Seed uint64
	// Versions are the model versions that answers may name.
	Versions  []string
	MaxTokens int
	// PromptBytes is the length of a prompt, PromptGroups how many prefixes
	// the prompts share.
	PromptBytes, PromptGroups int
	// Fractions of the requests.
	NonRepeatable, DoubleSend, Services float64
	Deadline                            time.Duration
	// Retries is how often a request that was not run is sent again; negative
	// means never.
	Retries int
	// Log receives progress messages.
	Log io.Writer
}

// LoadCustomer is a customer and its share of the load.
type LoadCustomer struct {
	Customer
	Share float64
}

// EvenShares gives each customer the same share.
func EvenShares(customers []Customer) []LoadCustomer {
	out := make([]LoadCustomer, 0, len(customers))
	for _, customer := range customers {
		out = append(out, LoadCustomer{Customer: customer, Share: 1})
	}
	return out
}

// LoadCounts are request outcomes and latencies as the callers measured them.
type LoadCounts struct {
	Requests           int     `json:"requests"`
	Answered           int     `json:"answered"`
	Late               int     `json:"late"`
	NotRun             int     `json:"notRun"`
	NotRunThenAnswered int     `json:"notRunThenAnswered"`
	Unknown            int     `json:"unknown"`
	WrongAnswer        int     `json:"wrongAnswer"`
	WrongVersion       int     `json:"wrongVersion"`
	CutOff             int     `json:"cutOff"`
	Attempts           int     `json:"attempts"`
	Tokens             int     `json:"tokens"`
	Contradicted       int     `json:"contradicted"`
	FirstTokenMsP50    float64 `json:"firstTokenMsP50"`
	FirstTokenMsP95    float64 `json:"firstTokenMsP95"`
	FirstTokenMsP99    float64 `json:"firstTokenMsP99"`
	BetweenTokensMsP50 float64 `json:"betweenTokensMsP50"`
	BetweenTokensMsP95 float64 `json:"betweenTokensMsP95"`
	AnswerMsP50        float64 `json:"answerMsP50"`
	AnswerMsP95        float64 `json:"answerMsP95"`
	AnswerMsP99        float64 `json:"answerMsP99"`
}

// LoadSummary is the result of a load: totals, and counts by customer, version and
// failure.
type LoadSummary struct {
	LoadCounts
	Seconds    float64               `json:"seconds"`
	Overrun    int                   `json:"overrun"`
	ByVersion  map[string]int        `json:"byVersion"`
	Failures   map[string]int        `json:"failures"`
	ByCustomer map[string]LoadCounts `json:"byCustomer"`
	Examples   []struct {
		RequestID string `json:"requestId"`
		Outcome   string `json:"outcome"`
		Detail    string `json:"detail"`
	} `json:"examples"`
}

// Load is a running load.
type Load struct {
	process *process.Process
	record  string // file with one line per request
	control string // base URL of its control interface
	out     *outputBuffer
}

// outputBuffer collects the standard output of a load and is safe for concurrent
// use.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *outputBuffer) Write(text []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(text)
}

func (o *outputBuffer) bytes() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Clone(o.text.Bytes())
}

// StartLoad starts callers against the deployment.
func (d *Deployment) StartLoad(ctx context.Context, options LoadOptions) (*Load, error) {
	control, err := d.addresses.take()
	if err != nil {
		return nil, err
	}
	load := &Load{
		record:  filepath.Join(d.dir, "callers-"+uuid.NewString()+".jsonl"),
		control: "http://" + control,
		out:     &outputBuffer{},
	}
	args := append(d.loadArgs(options), "--control", control, "--ledger-file", load.record)
	load.process, err = d.run(ctx, process.Spec{
		Name:    "callers",
		Program: d.program(standinProgram),
		Args:    args,
		Stdout:  load.out,
		Log:     options.Log,
	})
	return load, err
}

func (d *Deployment) loadArgs(options LoadOptions) []string {
	args := []string{"load", "--model", ModelName}
	flag := func(name, value string) { args = append(args, name, value) }
	if options.Direct {
		for _, m := range d.Agents() {
			flag("--direct", m.endpointURL)
		}
	} else {
		for _, m := range d.entries {
			flag("--entry", m.callers)
		}
	}
	for _, customer := range options.Customers {
		flag("--customer", customer.Name+":"+customer.Key()+":"+decimal(customer.Share))
	}
	for _, version := range options.Versions {
		flag("--versions", version)
	}
	number := func(name string, value int) {
		if value > 0 {
			flag(name, strconv.Itoa(value))
		}
	}
	number("--callers", options.Callers)
	number("--max-tokens", options.MaxTokens)
	number("--prompt-bytes", options.PromptBytes)
	number("--prompt-groups", options.PromptGroups)
	if options.Retries != 0 {
		flag("--retries", strconv.Itoa(max(0, options.Retries)))
	}
	if options.Deadline > 0 {
		flag("--deadline", options.Deadline.String())
	}
	if options.Services > 0 {
		flag("--services", ServiceName+":"+decimal(options.Services))
	}
	flag("--rate", decimal(options.Rate))
	flag("--seconds", decimal(options.Time.Seconds()))
	flag("--seed", strconv.FormatUint(d.loadSeed(options.Seed), 10))
	flag("--nonrepeatable", decimal(options.NonRepeatable))
	flag("--double-send", decimal(options.DoubleSend))
	return args
}

// loadSeed returns a different seed for each load of one deployment, because the
// audit tells requests apart by their content.
func (d *Deployment) loadSeed(seed uint64) uint64 {
	const perRun = 1000
	return seed*perRun + d.loads.Add(1)
}

// AddVersion makes the callers accept answers of the version from now on.
func (l *Load) AddVersion(ctx context.Context, version string) error {
	return callWith(ctx, http.MethodPost, l.control+"/versions", "", map[string][]string{"add": {version}}, nil)
}

// RemoveVersion makes the callers reject answers of the version to requests that
// are sent from now on.
func (l *Load) RemoveVersion(ctx context.Context, version string) error {
	return callWith(ctx, http.MethodPost, l.control+"/versions", "", map[string][]string{"remove": {version}}, nil)
}

// Progress returns the counts so far.
func (l *Load) Progress(ctx context.Context) (summary LoadSummary, err error) {
	err = callWith(ctx, http.MethodGet, l.control+"/summary", "", nil, &summary)
	return summary, err
}

// StopArrivals stops sending new requests; requests in progress continue.
func (l *Load) StopArrivals(ctx context.Context) error {
	return callWith(ctx, http.MethodPost, l.control+"/stop", "", struct{}{}, nil)
}

// Ended reports whether the last request has its outcome.
func (l *Load) Ended() bool { return l.process.Ended() }

// Record returns the name of the file with one line per request. The file is
// complete once Wait has returned.
func (l *Load) Record() string { return l.record }

// Wait waits for the last request's outcome and returns the summary.
func (l *Load) Wait(ctx context.Context) (summary LoadSummary, err error) {
	if err := l.process.Wait(ctx); err != nil {
		return summary, fmt.Errorf("the callers failed: %w", err)
	}
	if err := json.Unmarshal(l.out.bytes(), &summary); err != nil {
		return summary, fmt.Errorf("the callers' summary cannot be read: %w", err)
	}
	return summary, nil
}
