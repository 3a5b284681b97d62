package schema

import (
	"fmt"
	"path"
	"strconv"
	"strings"
)

// Field is the schema's description of a value.
type Field struct {
	description string
	kind        string   // JSON type, name of a string's definition, or the allowed values
	defaultText string   // JSON text of the default; empty if there is none
	remedy      string   // how to write a valid value
	keys        []string // keys of an object or of a list's items, sorted
}

// Description returns the meaning of the field. It may be empty.
func (f Field) Description() string { return f.description }

// Kind returns the JSON type, the name of a string's definition, or the allowed
// values.
func (f Field) Kind() string { return f.kind }

// Default returns the JSON text of the default, or "" if there is none.
func (f Field) Default() string { return f.defaultText }

// Remedy returns how to write a valid value.
func (f Field) Remedy() string { return f.remedy }

// Keys returns the keys of an object or of a list's items.
func (f Field) Keys() []string { return f.keys }

// Describe returns the schema's description of the value at the path. Indexes of
// list items may be omitted.
func (c *Checker) Describe(tokens []string) (Field, bool) {
	subschema := c.raw
	for _, token := range tokens {
		next, ok := c.childSchema(subschema, token)
		if !ok {
			return Field{}, false
		}
		subschema = next
	}
	return c.field(subschema), true
}

func (c *Checker) childSchema(subschema any, token string) (any, bool) {
	items, isList := At(c.resolve(subschema), []string{"items"})
	if isList && isIndex(token) {
		return items, true
	}
	if isList {
		subschema = items
	}
	next := c.property(subschema, token)
	return next, next != nil
}

func isIndex(token string) bool {
	_, err := strconv.Atoi(token)
	return err == nil || token == "-"
}

func (c *Checker) field(subschema any) Field {
	target := c.resolve(subschema)
	found := Field{description: c.keywordText(subschema, "description"), remedy: c.remedy(subschema), kind: c.kindOf(subschema)}
	if value, ok := At(subschema, []string{"default"}); ok {
		found.defaultText = jsonText(value)
	}
	if items, ok := At(target, []string{"items"}); ok {
		target = items
	}
	found.keys = c.knownKeys(target)
	return found
}

// keywordText returns the value of a keyword in a schema object or else in the object
// that it references.
func (c *Checker) keywordText(subschema any, keyword string) string {
	for _, level := range []any{subschema, c.resolve(subschema)} {
		if text, ok := At(level, []string{keyword}); ok {
			return fmt.Sprint(text)
		}
	}
	return ""
}

// kindOf returns the allowed values of an enumeration, the name of the definition
// that a string references, or the type.
func (c *Checker) kindOf(subschema any) string {
	target := c.resolve(subschema)
	if allowed, ok := At(target, []string{"enum"}); ok {
		return "one of " + strings.ReplaceAll(strings.Trim(jsonText(allowed), "[]"), ",", ", ")
	}
	kind, _ := At(target, []string{"type"})
	if list, ok := kind.([]any); ok {
		return fmt.Sprint(list[0])
	}
	if ref, ok := At(subschema, []string{"$ref"}); ok && kind == "string" {
		return path.Base(fmt.Sprint(ref))
	}
	return fmt.Sprint(kind)
}
