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
	kindKey    = "key" // a new bearer key, of which only the hash is kept
)

// field describes one control and the document's key that it edits.
type field struct {
	name    string // key of the document's JSON
	label   string
	help    string
	kind    string
	options []string // of kindSelect
	columns []string // of kindLines with objects: keys in the order of words
}

// section describes one list of the document, or its head where list is empty.
type section struct {
	list   string // key of the document's JSON
	title  string
	fields []field
}

var sections = []section{
	{
		title: "Rollouts and deadlines",
		fields: []field{
			{name: "objective", label: "Objective", kind: kindSelect, options: []string{document.ObjectiveTime, document.ObjectiveOriginBytes}, help: "What a rollout saves: time, or bytes drawn from the origin."},
			{name: "originCopies", label: "Copies from the origin", kind: kindNumber, help: "1 to 4."},
			{name: "deadlines.defaultRequest", label: "Default deadline", kind: kindText, help: "Seconds, such as 10s."},
			{name: "deadlines.maxRequest", label: "Longest deadline", kind: kindText, help: "Seconds, such as 60s."},
			{name: "deadlines.drain", label: "Drain time", kind: kindText, help: "Seconds that a leaving host may take."},
		},
	},
	{
		list: "models", title: "Models",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "version", label: "Version", kind: kindText, help: "Hash of the manifest, 64 digits."},
			{name: "adapters", label: "Adapters", kind: kindLines, columns: []string{"name", "version", "baseVersion"}, help: "One a line: name, version, version of the base."},
			{name: "replicas", label: "Replicas", kind: kindLines, columns: []string{"failureDomain", "count"}, help: "One a line: failure domain, number of hosts."},
			{name: "customers", label: "Customers", kind: kindLines, help: "One a line."},
			{name: "maxUnavailable", label: "Hosts out at once", kind: kindNumber, help: "In one failure domain, during a roll."},
			{name: "shift", label: "Callers move", kind: kindSelect, options: []string{document.ShiftAsHostsTurn, document.ShiftWhenWhole}},
		},
	},
	{
		list: "customers", title: "Customers",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "keyHashes", label: "Key hashes", kind: kindLines, help: "SHA-256, one a line."},
			{name: "newKey", label: "Add a key", kind: kindKey, help: "Only its hash is kept."},
			{name: "weight", label: "Weight", kind: kindNumber},
			{name: "requestsPerSecond", label: "Requests a second", kind: kindNumber, help: "0: no limit."},
			{name: "tokensPerSecond", label: "Tokens a second", kind: kindNumber, help: "0: no limit."},
			{name: "priority", label: "Priority", kind: kindNumber, help: "0 to 9; 9 goes first."},
			{name: "retryRatio", label: "Retry ratio", kind: kindNumber},
		},
	},
	{
		list: "operators", title: "Operators",
		fields: []field{
			{name: "name", label: "Name", kind: kindText},
			{name: "keyHashes", label: "Key hashes", kind: kindLines, help: "SHA-256, one a line."},
			{name: "newKey", label: "Add a key", kind: kindKey, help: "Only its hash is kept."},
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
			{name: "customers", label: "Customers", kind: kindLines, help: "One a line."},
		},
	},
}

// blankDocument is what the form starts from while no document is in force.
func blankDocument() *wire.Document {
	return &wire.Document{Objective: document.ObjectiveTime, OriginCopies: 1}
}
