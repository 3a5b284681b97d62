package schema

import (
	"fmt"
	"path"
	"strconv"
	"strings"
)

// Field is what a schema says of one value.
type Field struct {
	description string
	kind        string   // JSON type, or the allowed values
	fallback    string   // JSON text of the default; empty where there is none
	remedy      string   // how to write it right
	keys        []string // of an object, or of a list's items; sorted
}

// Description returns what the field means; it may be empty.
func (f Field) Description() string { return f.description }

// Kind returns the JSON type or the allowed values.
func (f Field) Kind() string { return f.kind }

// Default returns the JSON text of the default, empty where there is none.
func (f Field) Default() string { return f.fallback }

// Remedy returns how to write the value.
func (f Field) Remedy() string { return f.remedy }

// Keys returns the keys of an object or of a list's items.
func (f Field) Keys() []string { return f.keys }

// Describe returns what the schema says where the tokens lead. Indexes of list
// items may stand between the keys or be left out.
func (c *Checker) Describe(tokens []string) (Field, bool) {
	sub := c.raw
	for _, token := range tokens {
		next, ok := c.descend(sub, token)
		if !ok {
			return Field{}, false
		}
		sub = next
	}
	return c.field(sub), true
}

func (c *Checker) descend(sub any, token string) (any, bool) {
	items, isList := At(c.resolve(sub), []string{"items"})
	if isList && isIndex(token) {
		return items, true
	}
	if isList {
		sub = items
	}
	next := c.property(sub, token)
	return next, next != nil
}

func isIndex(token string) bool {
	_, err := strconv.Atoi(token)
	return err == nil || token == "-"
}

func (c *Checker) field(sub any) Field {
	target := c.resolve(sub)
	found := Field{description: c.text(sub, "description"), remedy: c.remedy(sub), kind: c.kindOf(sub)}
	if value, ok := At(sub, []string{"default"}); ok {
		found.fallback = jsonText(value)
	}
	if items, ok := At(target, []string{"items"}); ok {
		target = items
	}
	found.keys = c.knownKeys(target)
	return found
}

// text returns a keyword's text: the schema's own, else that of what it refers
// to.
func (c *Checker) text(sub any, keyword string) string {
	for _, level := range []any{sub, c.resolve(sub)} {
		if text, ok := At(level, []string{keyword}); ok {
			return fmt.Sprint(text)
		}
	}
	return ""
}

// kindOf names the allowed values, or what the schema calls a string's form, or
// the type.
func (c *Checker) kindOf(sub any) string {
	target := c.resolve(sub)
	if allowed, ok := At(target, []string{"enum"}); ok {
		return "one of " + strings.ReplaceAll(strings.Trim(jsonText(allowed), "[]"), ",", ", ")
	}
	kind, _ := At(target, []string{"type"})
	if list, ok := kind.([]any); ok {
		return fmt.Sprint(list[0])
	}
	if ref, ok := At(sub, []string{"$ref"}); ok && kind == "string" {
		return path.Base(fmt.Sprint(ref))
	}
	return fmt.Sprint(kind)
}
