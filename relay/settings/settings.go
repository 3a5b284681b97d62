// Package settings loads a process's JSON settings file, validates it against the
// published schema and applies the schema's defaults.
package settings

import (
	_ "embed" // for the schemas
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

// maxBytes is the maximum size of a settings file.
const maxBytes = 1 << 20

//go:embed entry.schema.json
var entrySchema []byte

//go:embed agent.schema.json
var agentSchema []byte

var (
	entryChecker = schema.MustCompile("entry.schema.json", entrySchema)
	agentChecker = schema.MustCompile("agent.schema.json", agentSchema)
)

// LoadEntry loads and validates the settings of comfreyentry.
func LoadEntry(name string) (*wire.EntrySettings, error) {
	return LoadEntryWith(name, nil)
}

// LoadEntryWith is like LoadEntry, but overrides of the form "key.path=value" take
// precedence over the file.
func LoadEntryWith(name string, overrides []string) (*wire.EntrySettings, error) {
	set := &wire.EntrySettings{}
	check := func() []schema.Problem { return checkEntry(set) }
	if err := load(name, overrides, entryChecker, set, check); err != nil {
		return nil, err
	}
	return set, nil
}

// LoadAgent loads and validates the settings of comfreyagent.
func LoadAgent(name string) (*wire.AgentSettings, error) {
	return LoadAgentWith(name, nil)
}

// LoadAgentWith is like LoadAgent, but overrides of the form "key.path=value" take
// precedence over the file.
func LoadAgentWith(name string, overrides []string) (*wire.AgentSettings, error) {
	set := &wire.AgentSettings{}
	check := func() []schema.Problem { return checkAgent(set) }
	if err := load(name, overrides, agentChecker, set, check); err != nil {
		return nil, err
	}
	return set, nil
}

// DescribeEntry returns the description of the comfreyentry setting at a path,
// which is a JSON pointer or keys joined by dots.
func DescribeEntry(path string) (schema.Field, bool) {
	return entryChecker.Describe(schema.PathTokens(path))
}

// DescribeAgent is like DescribeEntry, for comfreyagent.
func DescribeAgent(path string) (schema.Field, bool) {
	return agentChecker.Describe(schema.PathTokens(path))
}

// load reads a file into set. check runs the semantic checks on set once it is
// filled.
func load(name string, overrides []string, checker *schema.Checker, set proto.Message, check func() []schema.Problem) error {
	text, err := readFile(name)
	if err != nil {
		return err
	}
	tree, problems := schema.ParseTree(text)
	if len(problems) > 0 {
		return combineProblems(name, problems)
	}
	if err := rejectDuplicateKeys(name, text, set); err != nil {
		return err
	}
	for _, override := range overrides {
		if err := applyOverride(tree, override, checker); err != nil {
			return err
		}
	}
	return combineProblems(name, decodeAndCheck(tree, checker, set, check))
}

func readFile(name string) ([]byte, error) {
	if name == "" {
		return nil, failure.New(failure.Invalid, "no settings file is named", "name one with --settings FILE")
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot read the settings", "name an existing file with --settings")
	}
	if info.Size() > maxBytes {
		return nil, failure.New(failure.Invalid, fmt.Sprintf("%s has %d bytes, more than %d", name, info.Size(), maxBytes),
			"name a settings file with --settings")
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot read the settings", "name a readable file with --settings")
	}
	return text, nil
}

// decodeAndCheck validates the tree against the schema, decodes it with the defaults into
// set and runs the semantic checks. It removes values that violate the schema
// before decoding, so that all problems are reported at once.
func decodeAndCheck(tree any, checker *schema.Checker, set proto.Message, check func() []schema.Problem) []schema.Problem {
	known := checker.Check(tree)
	checker.Prune(tree, known)
	checker.FillDefaults(tree)
	if root, ok := tree.(map[string]any); ok {
		delete(root, "$schema")
	}
	if problem := decode(tree, set); problem != nil {
		if len(known) > 0 {
			return known
		}
		return problem
	}
	for _, problem := range check() {
		if !schema.Covers(known, problem.Path()) {
			known = append(known, problem)
		}
	}
	return schema.Sort(known)
}

func decode(tree any, set proto.Message) []schema.Problem {
	filled, err := json.Marshal(tree)
	if err == nil {
		err = protojson.Unmarshal(filled, set)
	}
	if err == nil {
		return nil
	}
	return []schema.Problem{schema.NewProblem("", "this cannot be read: "+schema.DecodeMessage(err), "correct the key that the message names")}
}

// rejectDuplicateKeys returns an error for a duplicate key. The tree would silently
// keep the last value, and the process would run with unintended settings.
func rejectDuplicateKeys(name string, text []byte, set proto.Message) error {
	scratch := set.ProtoReflect().New().Interface()
	err := protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(text, scratch)
	if err == nil || !strings.Contains(err.Error(), "duplicate field") {
		return nil // the schema check reports other problems
	}
	return failure.New(failure.Invalid, name+": "+schema.DecodeMessage(err), "keep one of the two")
}

// combineProblems combines all problems into one error; it returns nil if there are none.
func combineProblems(name string, problems []schema.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	if len(problems) == 1 {
		only := problems[0]
		return failure.New(failure.Invalid, name+": "+keyPath(only.Path())+only.Message(), only.Remedy())
	}
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = fmt.Sprintf("  %s%s; %s", keyPath(problem.Path()), problem.Message(), problem.Remedy())
	}
	return failure.New(failure.Invalid, fmt.Sprintf("%s is not valid, mistakes: %d\n%s", name, len(problems), strings.Join(lines, "\n")),
		"correct them all and start again")
}

// keyPath formats a JSON pointer like the key of an override, followed by a colon:
// "node.controlAddress: ".
func keyPath(pointer string) string {
	if pointer == "" {
		return ""
	}
	return strings.Join(schema.Tokens(pointer), ".") + ": "
}
