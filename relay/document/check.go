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
	return checkExcept(doc, nil)
}

// checkExcept runs the semantic checks on a document from which the values at the
// paths of known, the schema's problems, were removed.
func checkExcept(doc *wire.Document, known []Problem) []Problem {
	v := &validator{doc: doc, known: known, customerNames: map[string]bool{}}
	for _, customer := range doc.GetCustomers() {
		v.customerNames[customer.GetName()] = true
	}
	v.checkNames()
	v.checkKeys()
	v.checkModels()
	v.checkServices()
	v.checkEndpoints()
	v.checkDeadlines()
	v.checkPartSizes()
	return schema.Sort(v.found)
}

// validator collects the problems that the semantic checks find in a document.
type validator struct {
	doc *wire.Document
	// Problems that the schema check reported. The values at their paths were
	// removed from doc.
	known []Problem
	found []Problem
	// Names of the customers in doc.
	customerNames map[string]bool
}

func (v *validator) add(message, remedy string, tokens ...string) {
	v.found = append(v.found, schema.NewProblem(schema.Pointer(tokens...), message, remedy))
}

// named is a list item with a name.
type named interface{ GetName() string }

func checkUniqueNames[T named](v *validator, items []T, holder ...string) {
	first := map[string]int{}
	for i, item := range items {
		name := item.GetName()
		if name == "" {
			continue // already reported by the schema
		}
		earlier, duplicate := first[name]
		if !duplicate {
			first[name] = i
			continue
		}
		v.add(fmt.Sprintf("the name %q is a duplicate of item %d", name, earlier), "give each item its own name",
			append(holder, strconv.Itoa(i), "name")...)
	}
}

func (v *validator) checkNames() {
	checkUniqueNames(v, v.doc.GetModels(), "models")
	checkUniqueNames(v, v.doc.GetCustomers(), "customers")
	checkUniqueNames(v, v.doc.GetOperators(), "operators")
	checkUniqueNames(v, v.doc.GetEndpoints(), "endpoints")
	checkUniqueNames(v, v.doc.GetServices(), "services")
	for i, model := range v.doc.GetModels() {
		checkUniqueNames(v, model.GetAdapters(), "models", strconv.Itoa(i), "adapters")
	}
	if len(v.doc.GetOperators()) == 0 {
		v.add("no operator is listed", "list at least one operator, else nobody could change the document again", "operators")
	}
}

// checkKeys reports a key that belongs to two holders: a key must identify exactly one
// customer, or one operator for the audit trail.
func (v *validator) checkKeys() {
	holders := map[string]string{}
	for i, customer := range v.doc.GetCustomers() {
		v.checkHolderKeys(holders, customer.GetKeyHashes(), "customer "+customer.GetName(), "customers", i)
	}
	for i, operator := range v.doc.GetOperators() {
		v.checkHolderKeys(holders, operator.GetKeyHashes(), "operator "+operator.GetName(), "operators", i)
	}
}

func (v *validator) checkHolderKeys(holders map[string]string, hashes []string, holder, list string, item int) {
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
		v.add(fmt.Sprintf("the key %s also belongs to %s", shortHash(hash), other), "make a new key for one of the two",
			list, strconv.Itoa(item), "keyHashes", strconv.Itoa(i))
	}
}

func (v *validator) checkModels() {
	for i, model := range v.doc.GetModels() {
		index := strconv.Itoa(i)
		v.checkAdapters(model, index)
		v.checkReplicas(model, index)
		v.checkCustomerRefs(model.GetCustomers(), "models", index)
	}
}

func (v *validator) checkAdapters(model *wire.Model, index string) {
	for i, adapter := range model.GetAdapters() {
		base := adapter.GetBaseVersion()
		if base == "" || model.GetVersion() == "" || base == model.GetVersion() {
			continue
		}
		v.add(fmt.Sprintf("the adapter %q is for base version %s, but the model has version %s",
			adapter.GetName(), shortHash(base), shortHash(model.GetVersion())),
			"give an adapter made for the model's version, or the version it was made for",
			"models", index, "adapters", strconv.Itoa(i), "baseVersion")
	}
}

func (v *validator) checkReplicas(model *wire.Model, index string) {
	seen := map[string]bool{}
	for i, replicas := range model.GetReplicas() {
		domain := replicas.GetFailureDomain()
		if domain != "" && seen[domain] {
			v.add(fmt.Sprintf("the failure domain %q is listed twice", domain), "combine the counts in one item",
				"models", index, "replicas", strconv.Itoa(i), "failureDomain")
		}
		seen[domain] = true
	}
}

// checkCustomerRefs reports names of customers that are not in the document. It reports
// nothing if the name of a customer is missing or if the list of customers has
// problems, because the reference may mean one of those.
func (v *validator) checkCustomerRefs(names []string, list, index string) {
	if v.customerNames[""] || schema.Covers(v.known, "/customers") {
		return
	}
	for i, name := range names {
		if name == "" || v.customerNames[name] {
			continue
		}
		v.add(fmt.Sprintf("the customer %q is not in the document", name), "add it to /customers or correct the name",
			list, index, "customers", strconv.Itoa(i))
	}
}

func (v *validator) checkServices() {
	classes := map[string]*wire.EndpointClass{}
	for _, class := range v.doc.GetEndpoints() {
		classes[class.GetName()] = class
	}
	for i, service := range v.doc.GetServices() {
		index := strconv.Itoa(i)
		v.checkCustomerRefs(service.GetCustomers(), "services", index)
		class := classes[service.GetEndpoint()]
		switch {
		case service.GetEndpoint() == "":
		case class == nil && (classes[""] != nil || schema.Covers(v.known, "/endpoints")):
		case class == nil:
			v.add(fmt.Sprintf("the endpoint class %q is not in the document", service.GetEndpoint()),
				"add it to /endpoints or correct the name", "services", index, "endpoint")
		case class.GetKind() == KindEngine:
			v.add(fmt.Sprintf("the endpoint class %q is a model engine", service.GetEndpoint()),
				"name a class of kind service or bridge", "services", index, "endpoint")
		}
	}
}

// checkEndpoints reports classes whose calls are not repeatable and whose refusals do
// not prove that the call was not run: after any refusal, the outcome of the call
// would remain unknown.
func (v *validator) checkEndpoints() {
	for i, class := range v.doc.GetEndpoints() {
		if class.GetCallsRepeatable() || class.GetRefusesBeforeRun() || class.GetKind() == "" {
			continue
		}
		v.add(fmt.Sprintf("calls to %q may not be repeated, but its refusals do not prove that a call was not run", class.GetName()),
			"set refusesBeforeRun if it refuses before it runs a call, or callsRepeatable if a second run does no harm",
			"endpoints", strconv.Itoa(i), "refusesBeforeRun")
	}
}

func (v *validator) checkDeadlines() {
	limits := v.doc.GetDeadlines()
	v.checkDeadline(limits.GetDefaultRequest(), "defaultRequest")
	v.checkDeadline(limits.GetMaxRequest(), "maxRequest")
	v.checkDeadline(limits.GetDrain(), "drain")
	if DefaultRequest(v.doc) > MaxRequest(v.doc) {
		v.add(fmt.Sprintf("the default of %v exceeds the maximum of %v", DefaultRequest(v.doc), MaxRequest(v.doc)),
			"lower defaultRequest or raise maxRequest", "deadlines", "defaultRequest")
	}
}

func (v *validator) checkDeadline(limit *durationpb.Duration, key string) {
	if limit == nil {
		return
	}
	length := limit.AsDuration()
	if length < minDeadline || length > maxDeadline {
		v.add(fmt.Sprintf("%v is out of bounds", length), fmt.Sprintf("give %v to %v", minDeadline, maxDeadline), "deadlines", key)
	}
}

func (v *validator) checkPartSizes() {
	for _, part := range Split(v.doc) {
		if len(part.Bytes()) <= MaxPartBytes {
			continue
		}
		v.add(fmt.Sprintf("%s takes %d bytes in the store, more than %d", part.Part().GetName(), len(part.Bytes()), MaxPartBytes),
			"take out what is not needed, or name fewer customers in each model and service", section(part.Part().GetName()))
	}
}
