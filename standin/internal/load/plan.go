package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"comfreyrelay.example/standin/internal/answer"
)

// request is one logical request; it may be sent several times.
type request struct {
	number     int
	arrival    time.Duration // since the start
	customer   int           // index into Options.Customers
	caller     int           // which of the customer's callers sends it
	service    string        // "" for a request to a model
	adapter    Target        // zero value if none
	prompt     string        // the body for a service
	maxTokens  int
	repeatable bool
	stream     bool
	double     bool // also sent through a second entry at the same time
}

// plan generates the requests in order of arrival. The same seed gives the same
// sequence.
type plan struct {
	options Options
	random  *rand.Rand
	shares  float64 // sum over the customers
	made    int
	last    time.Duration
}

func newPlan(options Options) *plan {
	made := &plan{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	for _, customer := range options.Customers {
		made.shares += customer.Share
	}
	return made
}

// next returns the next request, or false after Options.Time.
func (p *plan) next() (request, bool) {
	gap := p.random.ExpFloat64() / p.options.Rate
	p.last += time.Duration(gap * float64(time.Second))
	if p.last > p.options.Time {
		return request{}, false
	}
	p.made++
	planned := request{
		number:     p.made,
		arrival:    p.last,
		customer:   p.pickCustomer(),
		caller:     p.random.IntN(p.options.Callers),
		maxTokens:  p.options.MaxTokens,
		repeatable: !p.chance(p.options.NonRepeatable),
		stream:     p.chance(p.options.Stream),
	}
	planned.double = p.chance(p.options.DoubleSend) && !planned.repeatable
	planned.service = p.pick(p.options.Services).Name
	planned.adapter = p.pick(p.options.Adapters)
	planned.prompt = p.prompt(planned)
	if planned.service != "" {
		planned.stream, planned.adapter = false, Target{}
	}
	return planned, true
}

// chance returns true with the given probability.
func (p *plan) chance(fraction float64) bool {
	return p.random.Float64() < fraction
}

// pickCustomer returns a customer's index, at random by the customers' shares.
func (p *plan) pickCustomer() int {
	at := p.random.Float64() * p.shares
	for i, customer := range p.options.Customers {
		at -= customer.Share
		if at < 0 {
			return i
		}
	}
	return len(p.options.Customers) - 1
}

// pick returns a target at random by the targets' fractions, or the zero Target.
func (p *plan) pick(targets []Target) Target {
	at := p.random.Float64()
	for _, target := range targets {
		at -= target.Fraction
		if at < 0 {
			return target
		}
	}
	return Target{}
}

// prompt returns a unique prompt that starts with the prefix of its group.
func (p *plan) prompt(planned request) string {
	prefix := fmt.Sprintf("request %d", planned.number)
	if p.options.PromptGroups > 0 {
		prefix = fmt.Sprintf("group %d of seed %d", p.random.IntN(p.options.PromptGroups), p.options.Seed)
	}
	own := fmt.Sprintf("%s: %s request %d of seed %d ", pad(prefix, answer.PrefixBytes),
		p.options.Customers[planned.customer].Name, planned.number, p.options.Seed)
	return pad(own, p.options.PromptBytes)
}

// pad appends dots to the text until it has the given size.
func pad(text string, size int) string {
	return text + strings.Repeat(".", max(0, size-len(text)))
}
