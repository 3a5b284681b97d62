package console

import (
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/wire"
)

// maxRows limits the rows of one list in a posted form.
const maxRows = 5000

// row holds the values of one list item by field name, as the operator typed them.
type row map[string]string

// form holds the values of all fields as the operator typed them.
type form struct {
	topLevel row
	rows     map[string][]row // by list
}

// jsonObject is a decoded JSON object.
type jsonObject = map[string]any

// formOf returns a form with the values of the document.
func formOf(doc *wire.Document) *form {
	var root jsonObject
	// Format always returns valid JSON. If it did not, the form would be empty.
	_ = json.Unmarshal(document.Format(doc), &root)
	filled := &form{rows: map[string][]row{}}
	for _, sec := range sections {
		if sec.list == "" {
			filled.topLevel = rowOf(sec, root)
			continue
		}
		items, _ := root[sec.list].([]any)
		for _, item := range items {
			object, _ := item.(jsonObject)
			filled.rows[sec.list] = append(filled.rows[sec.list], rowOf(sec, object))
		}
	}
	return filled
}

// rowOf returns the row of a section with the values of the object.
func rowOf(sec section, object jsonObject) row {
	filled := row{}
	for _, fld := range sec.fields {
		filled[fld.name] = formatValue(fld, lookUp(object, fld.name))
	}
	return filled
}

// lookUp returns the value of a key, which may be nested as in "outer.inner".
func lookUp(object jsonObject, name string) any {
	outer, inner, nested := strings.Cut(name, ".")
	if !nested {
		return object[outer]
	}
	child, _ := object[outer].(jsonObject)
	return child[inner]
}

// formatValue converts a JSON value to the text of a control.
func formatValue(fld field, value any) string {
	switch typed := value.(type) {
	case nil:
		return ""
	case string:
		return typed
	case bool:
		return strconv.FormatBool(typed)
	case float64:
		return strconv.FormatFloat(typed, 'g', -1, 64)
	case []any:
		return formatLines(fld, typed)
	}
	return ""
}

// formatLines returns one line per item. The line of an object lists its values
// in the order of the field's columns.
func formatLines(fld field, items []any) string {
	var lines []string
	for _, item := range items {
		object, isObject := item.(jsonObject)
		if !isObject {
			lines = append(lines, formatValue(fld, item))
			continue
		}
		var words []string
		for _, column := range fld.columns {
			words = append(words, formatValue(fld, object[column]))
		}
		lines = append(lines, strings.Join(words, " "))
	}
	return strings.Join(lines, "\n")
}

// readForm returns the form with the posted values. Rows are numbered from 0.
// Blank rows and rows marked for removal are skipped.
func readForm(values url.Values) *form {
	posted := &form{rows: map[string][]row{}}
	for _, sec := range sections {
		if sec.list == "" {
			posted.topLevel = readRow(sec, values, "")
			continue
		}
		count, _ := strconv.Atoi(values.Get(sec.list + ".count"))
		for i := range min(count, maxRows) {
			prefix := sec.list + "." + strconv.Itoa(i) + "."
			filled := readRow(sec, values, prefix)
			if !isBlank(sec, filled) && values.Get(prefix+"remove") == "" {
				posted.rows[sec.list] = append(posted.rows[sec.list], filled)
			}
		}
	}
	return posted
}

// readRow returns the posted values of one row, whose names start with prefix.
func readRow(sec section, values url.Values, prefix string) row {
	filled := row{}
	for _, fld := range sec.fields {
		text := strings.ReplaceAll(values.Get(prefix+fld.name), "\r\n", "\n")
		filled[fld.name] = strings.TrimSpace(text)
	}
	hashNewKey(filled)
	return filled
}

// isBlank reports whether the operator entered nothing in the row. It ignores
// selections, because these always have a value.
func isBlank(sec section, filled row) bool {
	for _, fld := range sec.fields {
		if fld.kind != kindSelect && filled[fld.name] != "" {
			return false
		}
	}
	return true
}

// hashNewKey adds the hash of a new key to the row's hashes and erases the key.
func hashNewKey(filled row) {
	key := filled["newKey"]
	if key == "" {
		return
	}
	filled["newKey"] = ""
	hashes := strings.Fields(filled["keyHashes"])
	hash := document.KeyHash(key)
	if !slices.Contains(hashes, hash) {
		hashes = append(hashes, hash)
	}
	filled["keyHashes"] = strings.Join(hashes, "\n")
}

// document parses the form's values into a document, with the same checks as for
// any submitted document.
func (f *form) document() (*wire.Document, []document.Problem) {
	text, err := json.Marshal(f.toJSON())
	if err != nil {
		return nil, nil
	}
	return document.Parse(text)
}

// toJSON returns the form's values as the JSON object of a document.
func (f *form) toJSON() jsonObject {
	root := jsonObject{}
	for _, sec := range sections {
		if sec.list == "" {
			setValues(root, sec, f.topLevel)
			continue
		}
		items := []any{}
		for _, filled := range f.rows[sec.list] {
			object := jsonObject{}
			setValues(object, sec, filled)
			items = append(items, object)
		}
		if len(items) > 0 {
			root[sec.list] = items
		}
	}
	return root
}

// setValues writes a row's values into the object and omits empty ones.
func setValues(object jsonObject, sec section, filled row) {
	for _, fld := range sec.fields {
		text := filled[fld.name]
		if text == "" || fld.kind == kindKey {
			continue
		}
		outer, inner, nested := strings.Cut(fld.name, ".")
		if !nested {
			object[outer] = parseValue(fld, text)
			continue
		}
		child, _ := object[outer].(jsonObject)
		if child == nil {
			child = jsonObject{}
			object[outer] = child
		}
		child[inner] = parseValue(fld, text)
	}
}

// parseValue converts the text of a control to a JSON value. A number field's text
// that is not a number stays a string, so that schema validation reports the field.
func parseValue(fld field, text string) any {
	switch fld.kind {
	case kindNumber:
		return parseNumber(text)
	case kindCheck:
		return text == "true" || text == "on"
	case kindLines:
		return parseLines(fld, text)
	}
	return text
}

// parseNumber returns the text as a number, or unchanged if it is not one.
func parseNumber(text string) any {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return value
}

// parseLines returns a JSON value per non-empty line: an object if the field has
// columns, otherwise a string.
func parseLines(fld field, text string) []any {
	items := []any{}
	for line := range strings.SplitSeq(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if fld.columns == nil {
			items = append(items, strings.Join(words, " "))
			continue
		}
		items = append(items, parseObject(fld.columns, words))
	}
	return items
}

// parseObject returns an object with the words as the values of the columns. An
// excess word goes under an unknown key, so that validation rejects the line.
func parseObject(columns, words []string) jsonObject {
	object := jsonObject{}
	for i, word := range words {
		if i >= len(columns) {
			object["tooManyWords"] = word
			break
		}
		if columns[i] == "count" {
			object[columns[i]] = parseNumber(word)
			continue
		}
		object[columns[i]] = word
	}
	return object
}
