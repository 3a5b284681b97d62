// Package policy plays the decisions of entries in virtual time: the product's own cores
// (who sends where, who waits, what is reported of engines) over described arrivals, links
// and engines, so that one policy can be held against another on the same load, at
// sizes that no machine could run.
//
// What is not the product's is modelled: callers, links as delays without queues, the
// engines' passes (engine.Batch), agents that poll their engine and report to entries.
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

// Load describes a deployment and what its callers ask. Times are in the unit that the
// field's name ends with.
type Load struct {
	Name    string `json:"name"`
	Regions int    `json:"regions"`
	Entries int    `json:"entries"`
	Engines int    `json:"engines"`
	// Seconds are played; what arrives before WarmSeconds is not counted.
	Seconds     float64 `json:"seconds"`
	WarmSeconds float64 `json:"warmSeconds"`
	// RequestsPerSecond arrive at the rate 1, over all regions; a region's part is
	// drawn once within Uneven of the mean, or is that of Parts against their sum.
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
	Share    float64 `json:"share"`    // of all requests, against the other classes'
	Prompt   Sizes   `json:"prompt"`   // tokens
	Answer   Sizes   `json:"answer"`   // tokens
	Priority int     `json:"priority"` // 0 the first
	// TargetMillis is the time to the first event that is in aim, GapMillis the longest
	// pause between two.
	TargetMillis float64 `json:"targetMillis"`
	GapMillis    float64 `json:"gapMillis"`
	Worth        float64 `json:"worth"`
	LateWorth    float64 `json:"lateWorth"`
}

// Sizes are drawn from a lognormal distribution.
type Sizes struct {
	Mean float64 `json:"mean"`
	// Spread is the standard deviation against the mean.
	Spread float64 `json:"spread"`
	Most   float64 `json:"most,omitempty"`
}

// Engine is what an engine can do.
type Engine struct {
	Slots         int     `json:"slots"`
	Queue         int     `json:"queue"`
	Stride        int     `json:"stride"`
	StepMillis    float64 `json:"stepMillis"`
	PerSeqMillis  float64 `json:"perSeqMillis"`
	ContextMillis float64 `json:"contextMillis"` // for each 1,000 tokens of context
	ReadPerSecond float64 `json:"readPerSecond"`
	PairMillis    float64 `json:"pairMillis"` // for each million pairs of tokens
	ChunkTokens   int     `json:"chunkTokens"`
	MemoryTokens  int     `json:"memoryTokens"`
	// FirstMillis is how much later a first event leaves the engine than its pass ends.
	FirstMillis float64 `json:"firstMillis"`
	// LoadMillis is how long it serves nothing while it loads a version.
	LoadMillis float64 `json:"loadMillis"`
}

// Links are the delays one way, without queues.
type Links struct {
	DomainMillis float64 `json:"domainMillis"` // within a failure domain
	RegionMillis float64 `json:"regionMillis"` // between regions
	CallerMillis float64 `json:"callerMillis"`
	// TurnMillis is what a process takes until it handles a message.
	TurnMillis float64 `json:"turnMillis"`
}

// Callers are those who ask.
type Callers struct {
	DeadlineMillis float64 `json:"deadlineMillis"`
	// Patience is the part by which some give less time.
	Patience float64 `json:"patience"`
	// Retries are made by a caller that got a time to return, within a third of the time
	// left.
	Retries int `json:"retries"`
}

// Event is something that happens to engines or callers.
type Event struct {
	// Kind: "add" brings engines, "gone" takes them away, "dark" lets them answer
	// nothing, "slow" makes their passes Factor as long, "load" has all load a version
	// in turn, "burst" multiplies what is asked by Factor.
	Kind       string  `json:"kind"`
	AtSeconds  float64 `json:"atSeconds"`
	ForSeconds float64 `json:"forSeconds,omitempty"`
	Share      float64 `json:"share,omitempty"`
	Factor     float64 `json:"factor,omitempty"`
}

//go:embed load.schema.json
var loadSchema []byte

var checker = schema.MustCompile("load.schema.json", loadSchema)

// Read reads a load from a file. Errors are of kind failure.Invalid and name the line,
// the field and the remedy.
func Read(name string) (*Load, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the load can't be read", "name a file that exists")
	}
	return Parse(text)
}

// Parse reads a load from its JSON text.
func Parse(text []byte) (*Load, error) {
	tree, problems := schema.ParseTree(text)
	if len(problems) == 0 {
		problems = checker.Check(tree)
	}
	if len(problems) > 0 {
		return nil, failure.New(failure.Invalid, schema.Lines(text, problems), "correct the load; nothing was played")
	}
	load := &Load{}
	if err := json.Unmarshal(text, load); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the load can't be read", "correct the load; nothing was played")
	}
	return load, nil
}

// spec is the engine in the product's terms.
func (l *Load) spec() *catalog.Engine {
	spec := &catalog.Engine{
		Slots: l.Engine.Slots, Stride: l.Engine.Stride, StepMillis: l.Engine.StepMillis, PerSeqMillis: l.Engine.PerSeqMillis,
		ContextMillis: l.Engine.ContextMillis, ReadPerSecond: l.Engine.ReadPerSecond, PairMillis: l.Engine.PairMillis,
		ChunkTokens: l.Engine.ChunkTokens,
	}
	shares, prompts, answers := 0.0, 0.0, 0.0
	for _, class := range l.Classes {
		shares += class.Share
		prompts += class.Share * class.Prompt.Mean
		answers += class.Share * class.Answer.Mean
	}
	spec.UsualPrompt, spec.UsualAnswer = int(prompts/shares), int(answers/shares)
	return spec
}

func millis(count float64) time.Duration { return time.Duration(count * float64(time.Millisecond)) }

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

//go:embed usual.json
var usualLoad []byte

// Usual returns the load that is built in: a deployment of five regions at its full rate.
func Usual() *Load {
	load, err := Parse(usualLoad)
	if err != nil {
		panic("usual.json: " + err.Error())
	}
	return load
}

// Sized returns the load with so many entries, engines and regions, 0 for those of the
// load. What is asked grows with the engines.
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
		return nil, failure.Wrap(err, failure.Internal, "the load can't be written", "report it")
	}
	return Parse(text)
}
