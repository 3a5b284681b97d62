// Package policy simulates the decisions of entries in virtual time. It runs the
// product's own code for routing, queueing and engine state on modelled arrivals,
// links and engines, so that policies can be compared on the same load, at sizes
// that no machine could run.
//
// Everything else is modelled: callers, links as delays without queues, the engines'
// passes (engine.Batch), and agents that poll their engine and report to entries.
package policy

import (
	_ "embed"
	"encoding/json"
	"os"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/schema"
)

// Load describes a deployment and the requests of its callers. The suffix of a
// field's name gives the unit of a time.
type Load struct {
	Name    string `json:"name"`
	Regions int    `json:"regions"`
	Entries int    `json:"entries"`
	Engines int    `json:"engines"`
	// Seconds is the simulated time. Requests that arrive before WarmSeconds are
	// not counted.
	Seconds     float64 `json:"seconds"`
	WarmSeconds float64 `json:"warmSeconds"`
	// RequestsPerSecond is the total over all regions at rate 1. The weight of
	// each region is drawn once within a fraction Uneven of the mean, or is given
	// by Parts, and is normalized by the sum of the weights.
	RequestsPerSecond float64   `json:"requestsPerSecond"`
	Uneven            float64   `json:"uneven"`
	Parts             []float64 `json:"parts,omitempty"`
	Classes           []Class   `json:"classes"`
	Engine            Engine    `json:"engine"`
	Links             Links     `json:"links"`
	Callers           Callers   `json:"callers"`
	Events            []Event   `json:"events,omitempty"`
}

// Class is a kind of request.
type Class struct {
	Name     string  `json:"name"`
	Share    float64 `json:"share"`    // weight relative to the other classes
	Prompt   Sizes   `json:"prompt"`   // tokens
	Answer   Sizes   `json:"answer"`   // tokens
	Priority int     `json:"priority"` // 0 is the highest
	// TargetMillis is the maximum time to the first event and GapMillis the maximum
	// pause between two events of an answer in aim.
	TargetMillis float64 `json:"targetMillis"`
	GapMillis    float64 `json:"gapMillis"`
	Worth        float64 `json:"worth"`
	LateWorth    float64 `json:"lateWorth"`
}

// Sizes describes a lognormal distribution of token counts.
type Sizes struct {
	Mean float64 `json:"mean"`
	// Spread is the standard deviation divided by the mean.
	Spread float64 `json:"spread"`
	Most   float64 `json:"most,omitempty"`
}

// Engine describes the capacity and timing of an engine.
type Engine struct {
	Slots         int     `json:"slots"`
	Queue         int     `json:"queue"`
	Stride        int     `json:"stride"`
	StepMillis    float64 `json:"stepMillis"`
	PerSeqMillis  float64 `json:"perSeqMillis"`
	ContextMillis float64 `json:"contextMillis"` // per 1,000 tokens of context
	ReadPerSecond float64 `json:"readPerSecond"`
	PairMillis    float64 `json:"pairMillis"` // per million pairs of tokens
	ChunkTokens   int     `json:"chunkTokens"`
	MemoryTokens  int     `json:"memoryTokens"`
	// FirstMillis is the delay from the end of a pass until its first event leaves
	// the engine.
	FirstMillis float64 `json:"firstMillis"`
	// LoadMillis is how long the engine is unavailable while it loads a version.
	LoadMillis float64 `json:"loadMillis"`
}

// Links holds the one-way delays of links, which have no queues.
type Links struct {
	DomainMillis float64 `json:"domainMillis"` // within a failure domain
	RegionMillis float64 `json:"regionMillis"` // between regions
	CallerMillis float64 `json:"callerMillis"`
	// TurnMillis is the time until a process handles a received message.
	TurnMillis float64 `json:"turnMillis"`
}

// Callers describes the behavior of callers.
type Callers struct {
	DeadlineMillis float64 `json:"deadlineMillis"`
	// Patience is the maximum fraction by which a caller's deadline is shortened.
	Patience float64 `json:"patience"`
	// Retries is the maximum number of retries. A caller retries only if the wait
	// that the response gives is at most a third of the time left.
	Retries int `json:"retries"`
}

// Event is a change to engines or callers during the simulation.
type Event struct {
	// Kind is the kind of change: "add" adds engines, "gone" removes them, "dark"
	// stops them from responding, "slow" multiplies the duration of their passes
	// by Factor, "load" has all engines load a version in turn, and "burst"
	// multiplies the request rate by Factor.
	Kind       string  `json:"kind"`
	AtSeconds  float64 `json:"atSeconds"`
	ForSeconds float64 `json:"forSeconds,omitempty"`
	Share      float64 `json:"share,omitempty"`
	Factor     float64 `json:"factor,omitempty"`
}

//go:embed load.schema.json
var loadSchema []byte

var checker = schema.MustCompile("load.schema.json", loadSchema)

// Read reads a load from a file. Errors are of kind failure.Invalid and give the line,
// the field and how to correct it.
func Read(name string) (*Load, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot read the load file", "name a file that exists")
	}
	return Parse(text)
}

// Parse parses and validates a load in JSON.
func Parse(text []byte) (*Load, error) {
	tree, problems := schema.ParseTree(text)
	if len(problems) == 0 {
		problems = checker.Check(tree)
	}
	if len(problems) > 0 {
		return nil, failure.New(failure.Invalid, schema.FormatWithLines(text, problems), "correct the load; no simulation was run")
	}
	load := &Load{}
	if err := json.Unmarshal(text, load); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot decode the load", "correct the load; no simulation was run")
	}
	return load, nil
}

// spec converts the engine to the product's catalog format.
func (l *Load) spec() *catalog.Engine {
	spec := &catalog.Engine{
		Slots: l.Engine.Slots, StepsPerPass: l.Engine.Stride, StepMillis: l.Engine.StepMillis, PerSeqMillis: l.Engine.PerSeqMillis,
		ContextMillis: l.Engine.ContextMillis, PromptTokensPerSecond: l.Engine.ReadPerSecond, PairMillis: l.Engine.PairMillis,
		ChunkTokens: l.Engine.ChunkTokens,
	}
	shares, prompts, answers := 0.0, 0.0, 0.0
	for _, class := range l.Classes {
		shares += class.Share
		prompts += class.Share * class.Prompt.Mean
		answers += class.Share * class.Answer.Mean
	}
	spec.MeanPromptTokens, spec.MeanAnswerTokens = int(prompts/shares), int(answers/shares)
	return spec
}

func millis(count float64) time.Duration { return time.Duration(count * float64(time.Millisecond)) }

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

//go:embed usual.json
var usualLoad []byte

// DefaultLoad returns the built-in load: a deployment of five regions at its full rate.
func DefaultLoad() *Load {
	load, err := Parse(usualLoad)
	if err != nil {
		panic("usual.json: " + err.Error())
	}
	return load
}

// Sized returns a copy of the load with the given numbers of entries, engines and
// regions; 0 keeps the load's number. The request rate scales with the engines.
func (l *Load) Sized(entries, engines, regions int) (*Load, error) {
	sized := *l
	if engines != 0 {
		sized.RequestsPerSecond *= float64(engines) / float64(l.Engines)
		sized.Engines = engines
	}
	if entries != 0 {
		sized.Entries = entries
	}
	if regions != 0 {
		sized.Regions = regions
	}
	text, err := json.Marshal(sized)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "cannot encode the load", "report it")
	}
	return Parse(text)
}
