package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// FormatWithLines formats the problems of a JSON text, one per line. Each begins with the
// line number of the value in the text or, if the value is missing, of the closest
// parent that is present.
func FormatWithLines(text []byte, problems []Problem) string {
	lines := lineNumbers(text)
	var messages []string
	for _, problem := range problems {
		line := 1
		for path := problem.Path(); path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			if found, ok := lines[path]; ok {
				line = found
				break
			}
		}
		messages = append(messages, fmt.Sprintf("line %d: %s", line, problem))
	}
	return strings.Join(messages, "\n")
}

// lineNumbers returns the line number of each value in a JSON text by its JSON
// pointer. It stops at the first syntax error.
func lineNumbers(text []byte) map[string]int {
	walk := &lineScanner{decoder: json.NewDecoder(bytes.NewReader(text)), text: text, found: map[string]int{}}
	walk.value("")
	return walk.found
}

// lineScanner records the line number of each value while it decodes a JSON text.
type lineScanner struct {
	decoder *json.Decoder
	text    []byte
	found   map[string]int
}

// next reads a token and returns it with its line number.
func (w *lineScanner) next() (json.Token, int, bool) {
	token, err := w.decoder.Token()
	if err != nil {
		return nil, 0, false
	}
	return token, 1 + bytes.Count(w.text[:w.decoder.InputOffset()], []byte("\n")), true
}

// value reads the value at a JSON pointer. It returns false if the text cannot be
// decoded further.
func (w *lineScanner) value(path string) bool {
	token, line, ok := w.next()
	if !ok {
		return false
	}
	w.found[path] = line
	switch token {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		return w.list(path)
	}
	return true
}

func (w *lineScanner) object(path string) bool {
	for w.decoder.More() {
		key, _, ok := w.next()
		name, isText := key.(string)
		if !ok || !isText || !w.value(path+Pointer(name)) {
			return false
		}
	}
	_, _, ok := w.next()
	return ok
}

func (w *lineScanner) list(path string) bool {
	for i := 0; w.decoder.More(); i++ {
		if !w.value(path + Pointer(strconv.Itoa(i))) {
			return false
		}
	}
	_, _, ok := w.next()
	return ok
}
