package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"comfreyrelay.example/relay/failure"
)

// Options configures a Load.
type Options struct {
	// Entries are the addresses, ip:port, of entries that are asked which entry to use.
	Entries []string
	// Direct are base URLs of engines; if set, requests bypass the entries.
	Direct []string
	// Customers are those that requests are sent for; at least one.
	Customers []Customer
	// Callers is the number of callers per customer; each has its own directory.
	Callers int
	// Services and Adapters receive their fractions of the requests.
	Services []Target
	Adapters []Target
	// Versions are the versions that answers may come from at the start; if empty, any.
	Versions []string

	// Rate is the mean rate of the Poisson arrivals, per second.
	Rate float64
	// Time is the period during which requests arrive.
	Time time.Duration
	// Seed determines the arrival times and contents.
	Seed uint64

	Model     string
	MaxTokens int
	// PromptBytes is the length of a prompt.
	PromptBytes int
	// PromptGroups is the number of prefixes that the prompts share; if 0, each
	// prompt has its own.
	PromptGroups int
	// NonRepeatable and Stream are fractions of all requests, DoubleSend is a
	// fraction of those that are not repeatable.
	NonRepeatable float64
	Stream        float64
	DoubleSend    float64

	Deadline time.Duration
	// Retries limits how often a request that was not run is sent again.
	Retries int
	// ResendUnknown sends repeatable requests again after an unknown outcome.
	ResendUnknown bool
	// MaxInFlight limits the requests in flight and so the caller's memory; arrivals
	// beyond it are counted as overrun and not sent.
	MaxInFlight int
}

// Customer is an organisation that requests are sent for.
type Customer struct {
	Name string
	Key  string
	// Share is the customer's weight relative to the other customers.
	Share float64
}

// Target is a service or an adapter that receives a fraction of the requests.
type Target struct {
	Name string
	// Version is set for adapters only.
	Version  string
	Fraction float64
}

// ParseCustomer parses name:key:share; the share is optional and defaults to 1.
func ParseCustomer(text string) (Customer, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" {
		return Customer{}, malformed("customer", text, "name:key:share")
	}
	customer := Customer{Name: parts[0], Key: parts[1], Share: 1}
	if len(parts) == 2 {
		return customer, nil
	}
	share, err := strconv.ParseFloat(parts[2], 64)
	if err != nil || share <= 0 {
		return Customer{}, malformed("customer", text, "name:key:share")
	}
	customer.Share = share
	return customer, nil
}

// ParseService parses name:fraction.
func ParseService(text string) (Target, error) {
	name, rest, _ := strings.Cut(text, ":")
	fraction, err := strconv.ParseFloat(rest, 64)
	if name == "" || err != nil || fraction < 0 || fraction > 1 {
		return Target{}, malformed("service", text, "name:fraction")
	}
	return Target{Name: name, Fraction: fraction}, nil
}

// ParseAdapter parses name:version:fraction.
func ParseAdapter(text string) (Target, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return Target{}, malformed("adapter", text, "name:version:fraction")
	}
	target, err := ParseService(parts[0] + ":" + parts[2])
	if err != nil {
		return Target{}, malformed("adapter", text, "name:version:fraction")
	}
	target.Version = parts[1]
	return target, nil
}

func malformed(what, text, form string) error {
	return failure.New(failure.Invalid, fmt.Sprintf("the %s %q is malformed", what, text), "write it as "+form)
}

// check returns an error for the first invalid option.
func (o Options) check() error {
	wrong := func(message, remedy string) error { return failure.New(failure.Invalid, message, remedy) }
	switch {
	case len(o.Entries) == 0 && len(o.Direct) == 0:
		return wrong("neither entries nor engines are given", "name entries with --entry or engines with --direct")
	case len(o.Customers) == 0:
		return wrong("no customer", "name one with --customer name:key:share")
	case o.Rate <= 0 || o.Time <= 0 || o.Deadline <= 0:
		return wrong("rate, time or deadline are not positive", "use positive --rate, --seconds and --deadline")
	case o.MaxTokens < 1 || o.Callers < 1 || o.MaxInFlight < 1:
		return wrong("tokens, callers or requests in flight are below 1", "use --max-tokens, --callers and --max-in-flight of 1 or more")
	}
	return nil
}
