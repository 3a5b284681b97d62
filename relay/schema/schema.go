// Package schema validates JSON texts against a JSON schema and reports all
// problems at once, each with its path and a remedy.
//
// In addition to the standard keywords it supports "x-remedy", the remedy to
// report if a value does not conform to the schema that contains the keyword. The
// values of a schema with "writeOnly" are not shown in messages.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxShownBytes is the maximum number of bytes of an invalid value that a message
// shows.
const maxShownBytes = 60

var printer = message.NewPrinter(language.English)

// Checker validates JSON trees against a compiled schema. It is safe for
// concurrent use.
type Checker struct {
	raw      any // the schema as a JSON tree; read only
	compiled *jsonschema.Schema
}

// MustCompile compiles an embedded schema and panics if it is invalid.
func MustCompile(name string, text []byte) *Checker {
	raw, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	for _, format := range formats {
		compiler.RegisterFormat(format)
	}
	if err := compiler.AddResource(name, raw); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	return &Checker{raw: raw, compiled: compiler.MustCompile(name)}
}

// ParseTree parses a JSON text into maps, slices and json.Number values, and
// reports syntax errors and values out of bounds.
func ParseTree(text []byte) (any, []Problem) {
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err == nil {
		return tree, truncate(checkBounds(tree))
	}
	where := ""
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		before := text[:min(int(syntax.Offset), len(text))]
		where = fmt.Sprintf(" in line %d", 1+bytes.Count(before, []byte("\n")))
	}
	return nil, []Problem{NewProblem("", "this is not JSON: "+err.Error()+where, "correct the JSON syntax there")}
}

// Check returns all violations of the schema in the tree.
func (c *Checker) Check(tree any) []Problem {
	err := c.compiled.Validate(tree)
	if err == nil {
		return nil
	}
	var problem *jsonschema.ValidationError
	if !errors.As(err, &problem) {
		return []Problem{NewProblem("", err.Error(), "correct the text")}
	}
	return truncate(Sort(c.collect(problem, tree, nil)))
}

// collect converts the leaves of a validation error's tree of causes to problems
// and appends them to found.
func (c *Checker) collect(problem *jsonschema.ValidationError, tree any, found []Problem) []Problem {
	if len(problem.Causes) > 0 {
		for _, cause := range problem.Causes {
			found = c.collect(cause, tree, found)
		}
		return found
	}
	switch violation := problem.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return append(found, c.unknownKeys(problem, violation.Properties)...)
	case *kind.Required:
		return append(found, c.missingKeys(problem, violation.Missing)...)
	}
	path := Pointer(problem.InstanceLocation...)
	return append(found, NewProblem(path, c.violationMessage(problem, tree), c.remedy(c.schemaAt(problem))))
}

func (c *Checker) unknownKeys(problem *jsonschema.ValidationError, keys []string) []Problem {
	known := strings.Join(c.knownKeys(c.schemaAt(problem)), ", ")
	var found []Problem
	for _, key := range keys {
		path := Pointer(append(slices.Clone(problem.InstanceLocation), key)...)
		found = append(found, NewProblem(path, fmt.Sprintf("the key %q is not known", shorten(key)),
			"remove it or correct its spelling; known here are: "+known))
	}
	return found
}

func (c *Checker) missingKeys(problem *jsonschema.ValidationError, keys []string) []Problem {
	holder := c.schemaAt(problem)
	var found []Problem
	for _, key := range keys {
		path := Pointer(append(slices.Clone(problem.InstanceLocation), key)...)
		found = append(found, NewProblem(path, "this key is missing", c.remedy(c.property(holder, key))))
	}
	return found
}

func (c *Checker) violationMessage(problem *jsonschema.ValidationError, tree any) string {
	text := problem.ErrorKind.LocalizedString(printer)
	value, ok := At(tree, problem.InstanceLocation)
	if !ok || c.isSecret(c.schemaAt(problem)) {
		value = nil
	}
	switch violation := problem.ErrorKind.(type) {
	case *kind.Pattern:
		text = "the value does not have the right form"
	case *kind.Format:
		text = "the value " + violation.Err.Error()
	case *kind.Type:
		return fmt.Sprintf("the value's type is %s, not %s", violation.Got, strings.Join(violation.Want, " or "))
	case *kind.Enum:
		text = "the value is not one of those allowed"
	case *kind.Minimum:
		text = "the value is less than " + formatNumber(violation.Want)
	case *kind.Maximum:
		text = "the value is more than " + formatNumber(violation.Want)
	case *kind.MinItems:
		return fmt.Sprintf("the list has %d items, %d at least are needed", violation.Got, violation.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("the list has %d items, %d at most are allowed", violation.Got, violation.Want)
	case *kind.UniqueItems:
		return fmt.Sprintf("items %d and %d are equal", violation.Duplicates[0], violation.Duplicates[1])
	}
	switch value.(type) {
	case string, json.Number, bool:
		return text + ": " + shorten(jsonText(value))
	}
	return text
}

func jsonText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(text)
}

func formatNumber(value *big.Rat) string {
	float, _ := value.Float64()
	return strconv.FormatFloat(float, 'f', -1, 64)
}

func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxShownBytes], "") + "..."
}

// schemaAt returns the schema object that the value violates.
func (c *Checker) schemaAt(problem *jsonschema.ValidationError) any {
	_, fragment, _ := strings.Cut(problem.SchemaURL, "#")
	found, _ := At(c.raw, Tokens(fragment))
	return found
}

// property returns the schema of a property of holder, or nil. It resolves a
// reference in holder.
func (c *Checker) property(holder any, key string) any {
	found, _ := At(c.resolve(holder), []string{"properties", key})
	return found
}

func (c *Checker) knownKeys(holder any) []string {
	properties, _ := At(c.resolve(holder), []string{"properties"})
	object, _ := properties.(map[string]any)
	var keys []string
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// resolve returns the target of a reference within the schema, or subschema itself if
// it is not a reference.
func (c *Checker) resolve(subschema any) any {
	object, _ := subschema.(map[string]any)
	ref, ok := object["$ref"].(string)
	if !ok {
		return subschema
	}
	target, _ := At(c.raw, Tokens(strings.TrimPrefix(ref, "#")))
	return target
}

func (c *Checker) isSecret(subschema any) bool {
	object, _ := subschema.(map[string]any)
	secret, _ := object["writeOnly"].(bool)
	return secret
}

// remedy returns the remedy of a schema object or else of the object that it
// references.
func (c *Checker) remedy(subschema any) string {
	for _, level := range []any{subschema, c.resolve(subschema)} {
		object, _ := level.(map[string]any)
		if advice, ok := object["x-remedy"].(string); ok {
			return advice
		}
	}
	return "correct it as the schema says"
}

// DecodeMessage returns the text of a protojson error without the prefix and with
// normalized spaces, which protojson varies between builds.
func DecodeMessage(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return strings.TrimPrefix(text, "proto: ")
}
