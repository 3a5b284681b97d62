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

// maxRows bounds the rows of one list in a posted form.
const maxRows = 5000

// row is one list item's values by field name, as the operator typed them.
type row map[string]string

// form is the whole document as the operator typed it.
type form struct {
	topLevel row
	rows     map[string][]row // by list
}

// tree is a JSON object.
type jsonObject = map[string]any

// formOf returns the form that shows the document.
func formOf(doc *wire.Document) *form {
	var root jsonObject
	// Format returns valid JSON by its contract; an empty form shows otherwise.
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

func rowOf(sec section, object jsonObject) row {
	filled := row{}
	for _, fld := range sec.fields {
		filled[fld.name] = formatValue(fld, lookUp(object, fld.name))
	}
	return filled
}

func lookUp(object jsonObject, name string) any {
	outer, inner, nested := strings.Cut(name, ".")
	if !nested {
		return object[outer]
	}
	child, _ := object[outer].(jsonObject)
	return child[inner]
}

// show returns a JSON value as a control's text.
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

// readForm takes the posted values. Rows are numbered from 0; blank rows and
// those marked for removal are left out.
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

func readRow(sec section, values url.Values, prefix string) row {
	filled := row{}
	for _, fld := range sec.fields {
		text := strings.ReplaceAll(values.Get(prefix+fld.name), "\r\n", "\n")
		filled[fld.name] = strings.TrimSpace(text)
	}
	hashNewKey(filled)
	return filled
}

// blank reports whether an operator typed nothing into the row. Selections
// always have a value and say nothing.
func isBlank(sec section, filled row) bool {
	for _, fld := range sec.fields {
		if fld.kind != kindSelect && filled[fld.name] != "" {
			return false
		}
	}
	return true
}

// absorbKey adds the hash of a new key to the hashes and forgets the key.
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

// document returns the document that the form describes, checked as any other.
func (f *form) document() (*wire.Document, []document.Problem) {
	text, err := json.Marshal(f.toJSON())
	if err != nil {
		return nil, nil
	}
	return document.Parse(text)
}

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

// fill writes a row's values into the object; empty ones stay absent.
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

// parse returns the JSON value of a control's text. Text that is no number
// stays text, so that the schema's check names the field.
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

func parseNumber(text string) any {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return value
}

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
