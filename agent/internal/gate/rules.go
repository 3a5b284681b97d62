package gate

import (
	"sync/atomic"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// maxRequestTime limits the run time of an attempt if the document sets no lower
// limit. It must be less than attemptRetention.
const maxRequestTime = 10 * time.Minute

// attemptRules is an index of what the current document says about attempts.
type attemptRules struct {
	document *wire.Document
	// allowedCustomers maps "model/<name>" and "service/<name>" to the set of
	// customers' names.
	allowedCustomers map[string]map[string]bool
	endpointClass    *wire.EndpointClass // of this host's endpoint; nil if unknown
	maxDeadline      time.Duration       // above 0, at most maxRequestTime
}

// ruleCache caches the index of the current document.
type ruleCache struct {
	holder   *view.Holder
	endpoint string
	cached   atomic.Pointer[attemptRules]
}

// current returns the rules and the revision of the document they come from. Without
// a document the rules allow no customer anything.
func (c *ruleCache) current() (*attemptRules, uint32) {
	snap, _ := c.holder.Load()
	if cached := c.cached.Load(); cached != nil && cached.document == snap.Document {
		return cached, snap.Revision
	}
	fresh := newAttemptRules(snap.Document, c.endpoint)
	c.cached.Store(fresh)
	return fresh, snap.Revision
}

// newAttemptRules indexes a document for the endpoint class with the given name.
func newAttemptRules(doc *wire.Document, endpoint string) *attemptRules {
	built := &attemptRules{document: doc, allowedCustomers: map[string]map[string]bool{}, maxDeadline: maxRequestTime}
	for _, model := range doc.GetModels() {
		built.allowedCustomers["model/"+model.GetName()] = toSet(model.GetCustomers())
	}
	for _, service := range doc.GetServices() {
		built.allowedCustomers["service/"+service.GetName()] = toSet(service.GetCustomers())
	}
	for _, class := range doc.GetEndpoints() {
		if class.GetName() == endpoint {
			built.endpointClass = class
		}
	}
	if limit := doc.GetDeadlines().GetMaxRequest().AsDuration(); limit > 0 && limit < maxRequestTime {
		built.maxDeadline = limit
	}
	return built
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// allowsCustomer reports whether the customer may use the model or service that the
// attempt asks for.
func (r *attemptRules) allowsCustomer(att *wire.Attempt) bool {
	if att.GetService() != "" {
		return r.allowedCustomers["service/"+att.GetService()][att.GetCustomer()]
	}
	return r.allowedCustomers["model/"+att.GetModel()][att.GetCustomer()]
}

// timeLimit returns how long an attempt may run from now.
func (r *attemptRules) timeLimit(att *wire.Attempt) time.Duration {
	requested := time.Duration(att.GetDeadlineMillis()) * time.Millisecond
	return min(requested, r.maxDeadline)
}
