package gate

import (
	"sync/atomic"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// longestDeadline bounds an attempt where the document sets no bound; it stays
// below the retention of attempts.
const longestDeadline = 10 * time.Minute

// rules is what the document in force says about attempts, indexed.
type rules struct {
	document *wire.Document
	// allowed holds "model/<name>" and "service/<name>" to customers' names.
	allowed     map[string]map[string]bool
	class       *wire.EndpointClass // of this host's endpoint; nil if unknown
	maxDeadline time.Duration       // above 0, at most longestDeadline
}

// rulebook keeps the index of the newest document.
type rulebook struct {
	holder   *view.Holder
	endpoint string
	current  atomic.Pointer[rules]
}

// load returns the rules and the revision they come from. While no document is
// in force the rules allow nobody anything.
func (b *rulebook) load() (*rules, uint32) {
	snap, _ := b.holder.Load()
	if cached := b.current.Load(); cached != nil && cached.document == snap.Document {
		return cached, snap.Revision
	}
	fresh := newRules(snap.Document, b.endpoint)
	b.current.Store(fresh)
	return fresh, snap.Revision
}

func newRules(doc *wire.Document, endpoint string) *rules {
	out := &rules{document: doc, allowed: map[string]map[string]bool{}, maxDeadline: longestDeadline}
	for _, model := range doc.GetModels() {
		out.allowed["model/"+model.GetName()] = nameSet(model.GetCustomers())
	}
	for _, service := range doc.GetServices() {
		out.allowed["service/"+service.GetName()] = nameSet(service.GetCustomers())
	}
	for _, class := range doc.GetEndpoints() {
		if class.GetName() == endpoint {
			out.class = class
		}
	}
	if limit := doc.GetDeadlines().GetMaxRequest().AsDuration(); limit > 0 && limit < longestDeadline {
		out.maxDeadline = limit
	}
	return out
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// allows reports whether the customer may use what the attempt asks for.
func (r *rules) allows(att *wire.Attempt) bool {
	if att.GetService() != "" {
		return r.allowed["service/"+att.GetService()][att.GetCustomer()]
	}
	return r.allowed["model/"+att.GetModel()][att.GetCustomer()]
}

// deadline returns the time that an attempt may take from now.
func (r *rules) deadline(att *wire.Attempt) time.Duration {
	left := time.Duration(att.GetDeadlineMillis()) * time.Millisecond
	return min(left, r.maxDeadline)
}
