package console

import (
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/wire"
)

// Kinds of form controls.
const (
	kindText   = "text"
	kindNumber = "number"
	kindSelect = "select"
	kindLines  = "lines"
	kindCheck  = "check"
	kindKey    = "key" // a new bearer key; only its hash is stored
)

// field describes one form control and the JSON key of the document that it edits.
type field struct {
	name    string // JSON key; a dot separates nested keys
	label   string
	help    string
	kind    string
	options []string // for kindSelect
	columns []string // for kindLines with objects: JSON keys of the words of a line, in order
}

// section describes one list of the document, or its top-level fields if list is
// empty.
type section struct {
	list   string // JSON key of the list
	title  string
	fields []field
}

var sections = []section{
	{
		title: "Rollouts and deadlines",
		fields: []field{
			{name: "objective", label: "Objective", kind: kindSelect, options: []string{document.ObjectiveTime, document.ObjectiveOriginBytes}, help: "What a rollout minimizes: its time, or the bytes fetched from the origin."},
			{name: "originCopies", label: "Copies from the origin", kind: kindNumber, help: "1 to 4."},
			{name: "deadlines.defaultRequest", label: "Default deadline", kind: kindText, help: "Seconds, such as 10s."},
			{name: "deadlines.maxRequest", label: "Longest deadline", kind: kindText, help: "Seconds, such as 60s."},
			{name: "deadlines.drain", label: "Drain time", kind: kindText, help: "Seconds that a host may take to finish its requests before it leaves."},
		},
	},
	{
		list: "models", title: "Models",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "version", label: "Version", kind: kindText, help: "Hash of the manifest, 64 digits."},
			{name: "adapters", label: "Adapters", kind: kindLines, columns: []string{"name", "version", "baseVersion"}, help: "One per line: name, version, version of the base."},
			{name: "replicas", label: "Replicas", kind: kindLines, columns: []string{"failureDomain", "count"}, help: "One per line: failure domain, number of hosts."},
			{name: "customers", label: "Customers", kind: kindLines, help: "One per line."},
			{name: "maxUnavailable", label: "Hosts unavailable at once", kind: kindNumber, help: "In one failure domain, during a rollout."},
			{name: "shift", label: "Callers move", kind: kindSelect, options: []string{document.ShiftAsHostsTurn, document.ShiftWhenWhole}},
		},
	},
	{
		list: "customers", title: "Customers",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "keyHashes", label: "Key hashes", kind: kindLines, help: "SHA-256, one per line."},
			{name: "newKey", label: "Add a key", kind: kindKey, help: "Only its hash is stored."},
			{name: "weight", label: "Weight", kind: kindNumber},
			{name: "requestsPerSecond", label: "Requests per second", kind: kindNumber, help: "0: no limit."},
			{name: "tokensPerSecond", label: "Tokens per second", kind: kindNumber, help: "0: no limit."},
			{name: "priority", label: "Priority", kind: kindNumber, help: "0 to 9; 9 is the highest."},
			{name: "retryRatio", label: "Retry ratio", kind: kindNumber},
		},
	},
	{
		list: "operators", title: "Operators",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "keyHashes", label: "Key hashes", kind: kindLines, help: "SHA-256, one per line."},
			{name: "newKey", label: "Add a key", kind: kindKey, help: "Only its hash is stored."},
		},
	},
	{
		list: "endpoints", title: "Kinds of endpoint",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "kind", label: "Kind", kind: kindSelect, options: []string{document.KindEngine, document.KindService, document.KindBridge}},
			{name: "checksFencing", label: "Refuses old fencing numbers", kind: kindCheck},
			{name: "callsRepeatable", label: "Calls may be repeated", kind: kindCheck},
			{name: "refusesBeforeRun", label: "A refusal proves that nothing ran", kind: kindCheck},
		},
	},
	{
		list: "services", title: "Plain services",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "endpoint", label: "Kind of endpoint", kind: kindText},
			{name: "customers", label: "Customers", kind: kindLines, help: "One per line."},
		},
	},
}

// blankDocument returns the initial document of the form while none is in force.
func blankDocument() *wire.Document {
	return &wire.Document{Objective: document.ObjectiveTime, OriginCopies: 1}
}
