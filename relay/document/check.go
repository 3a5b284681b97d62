package document

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

// Allowed range of the deadlines.
const (
	minDeadline = 10 * time.Millisecond
	maxDeadline = time.Hour
)

// Check runs the semantic checks on a document that conforms to the schema and
// returns all problems at once.
func Check(doc *wire.Document) []Problem {
	return check(doc, nil)
}

func check(doc *wire.Document, known []Problem) []Problem {
	check := &checking{doc: doc, known: known, customerNames: map[string]bool{}}
	for _, customer := range doc.GetCustomers() {
		check.customerNames[customer.GetName()] = true
	}
	check.names()
	check.keys()
	check.models()
	check.services()
	check.endpoints()
	check.deadlines()
	check.partSizes()
	return schema.Sort(check.found)
}

// checking collects the problems that the semantic checks find in a document.
type checking struct {
	doc *wire.Document
	// Problems that the schema check reported. The values at their paths were
	// removed from doc.
	known []Problem
	found []Problem
	// Names of the customers in doc.
	customerNames map[string]bool
}

func (c *checking) add(message, remedy string, tokens ...string) {
	c.found = append(c.found, schema.NewProblem(schema.Pointer(tokens...), message, remedy))
}

// named is a list item with a name.
type named interface{ GetName() string }

func uniqueNames[T named](c *checking, items []T, holder ...string) {
	first := map[string]int{}
	for i, item := range items {
		name := item.GetName()
		if name == "" {
			continue // already reported by the schema
		}
		before, double := first[name]
		if !double {
			first[name] = i
			continue
		}
		c.add(fmt.Sprintf("the name %q is also that of item %d", name, before), "give each item its own name",
			append(holder, strconv.Itoa(i), "name")...)
	}
}

func (c *checking) names() {
	uniqueNames(c, c.doc.GetModels(), "models")
	uniqueNames(c, c.doc.GetCustomers(), "customers")
	uniqueNames(c, c.doc.GetOperators(), "operators")
	uniqueNames(c, c.doc.GetEndpoints(), "endpoints")
	uniqueNames(c, c.doc.GetServices(), "services")
	for i, model := range c.doc.GetModels() {
		uniqueNames(c, model.GetAdapters(), "models", strconv.Itoa(i), "adapters")
	}
	if len(c.doc.GetOperators()) == 0 {
		c.add("no operator is listed", "list at least one operator, else nobody could change the document again", "operators")
	}
}

// keys reports a key that belongs to two holders: a key must identify exactly one
// customer, or one operator for the audit trail.
func (c *checking) keys() {
	holders := map[string]string{}
	for i, customer := range c.doc.GetCustomers() {
		c.keysOf(holders, customer.GetKeyHashes(), "customer "+customer.GetName(), "customers", i)
	}
	for i, operator := range c.doc.GetOperators() {
		c.keysOf(holders, operator.GetKeyHashes(), "operator "+operator.GetName(), "operators", i)
	}
}

func (c *checking) keysOf(holders map[string]string, hashes []string, holder, list string, item int) {
	for i, hash := range hashes {
		if hash == "" {
			continue
		}
		other, taken := holders[hash]
		if !taken {
			holders[hash] = holder
			continue
		}
		if other == holder {
			continue // the schema reports a repeated item
		}
		c.add(fmt.Sprintf("the key %s is also that of %s", shortHash(hash), other), "make a new key for one of the two",
			list, strconv.Itoa(item), "keyHashes", strconv.Itoa(i))
	}
}

func (c *checking) models() {
	for i, model := range c.doc.GetModels() {
		at := strconv.Itoa(i)
		c.adapters(model, at)
		c.replicas(model, at)
		c.customers(model.GetCustomers(), "models", at)
	}
}

func (c *checking) adapters(model *wire.Model, at string) {
	for i, adapter := range model.GetAdapters() {
		base := adapter.GetBaseVersion()
		if base == "" || model.GetVersion() == "" || base == model.GetVersion() {
			continue
		}
		c.add(fmt.Sprintf("the adapter %q lies over version %s, the model is at %s",
			adapter.GetName(), shortHash(base), shortHash(model.GetVersion())),
			"give an adapter made for the model's version, or the version it was made for",
			"models", at, "adapters", strconv.Itoa(i), "baseVersion")
	}
}

func (c *checking) replicas(model *wire.Model, at string) {
	seen := map[string]bool{}
	for i, replicas := range model.GetReplicas() {
		domain := replicas.GetFailureDomain()
		if domain != "" && seen[domain] {
			c.add(fmt.Sprintf("the failure domain %q is listed twice", domain), "add the counts up in one item",
				"models", at, "replicas", strconv.Itoa(i), "failureDomain")
		}
		seen[domain] = true
	}
}

// customers reports names of customers that are not in the document. It reports
// nothing if the name of a customer is missing or if the list of customers has
// problems, because the reference may mean one of those.
func (c *checking) customers(names []string, list, at string) {
	if c.customerNames[""] || schema.Covers(c.known, "/customers") {
		return
	}
	for i, name := range names {
		if name == "" || c.customerNames[name] {
			continue
		}
		c.add(fmt.Sprintf("the customer %q is not in the document", name), "add it to /customers or correct the name",
			list, at, "customers", strconv.Itoa(i))
	}
}

func (c *checking) services() {
	classes := map[string]*wire.EndpointClass{}
	for _, class := range c.doc.GetEndpoints() {
		classes[class.GetName()] = class
	}
	for i, service := range c.doc.GetServices() {
		at := strconv.Itoa(i)
		c.customers(service.GetCustomers(), "services", at)
		class := classes[service.GetEndpoint()]
		switch {
		case service.GetEndpoint() == "":
		case class == nil && (classes[""] != nil || schema.Covers(c.known, "/endpoints")):
		case class == nil:
			c.add(fmt.Sprintf("the endpoint class %q is not in the document", service.GetEndpoint()),
				"add it to /endpoints or correct the name", "services", at, "endpoint")
		case class.GetKind() == KindEngine:
			c.add(fmt.Sprintf("the endpoint class %q is a model engine", service.GetEndpoint()),
				"name a class of kind service or bridge", "services", at, "endpoint")
		}
	}
}

// endpoints reports classes whose calls are not repeatable and whose refusals do
// not prove that the call was not run: after any refusal, the outcome of the call
// would remain unknown.
func (c *checking) endpoints() {
	for i, class := range c.doc.GetEndpoints() {
		if class.GetCallsRepeatable() || class.GetRefusesBeforeRun() || class.GetKind() == "" {
			continue
		}
		c.add(fmt.Sprintf("calls to %q may not be repeated, yet its refusals do not prove that a call was not run", class.GetName()),
			"set refusesBeforeRun if it refuses before it runs a call, or callsRepeatable if a second run does no harm",
			"endpoints", strconv.Itoa(i), "refusesBeforeRun")
	}
}

func (c *checking) deadlines() {
	limits := c.doc.GetDeadlines()
	c.deadline(limits.GetDefaultRequest(), "defaultRequest")
	c.deadline(limits.GetMaxRequest(), "maxRequest")
	c.deadline(limits.GetDrain(), "drain")
	if DefaultRequest(c.doc) > MaxRequest(c.doc) {
		c.add(fmt.Sprintf("the default of %v is longer than the longest allowed, %v", DefaultRequest(c.doc), MaxRequest(c.doc)),
			"lower defaultRequest or raise maxRequest", "deadlines", "defaultRequest")
	}
}

func (c *checking) deadline(limit *durationpb.Duration, key string) {
	if limit == nil {
		return
	}
	length := limit.AsDuration()
	if length < minDeadline || length > maxDeadline {
		c.add(fmt.Sprintf("%v is out of bounds", length), fmt.Sprintf("give %v to %v", minDeadline, maxDeadline), "deadlines", key)
	}
}

func (c *checking) partSizes() {
	for _, part := range Split(c.doc) {
		if len(part.Bytes()) <= MaxPartBytes {
			continue
		}
		c.add(fmt.Sprintf("%s takes %d bytes in the store, more than %d", part.Part().GetName(), len(part.Bytes()), MaxPartBytes),
			"take out what is not needed, or name fewer customers in each model and service", section(part.Part().GetName()))
	}
}
