package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Lines returns the problems of a JSON text in one line each, with the line of the text
// where the value stands, or where the object stands that lacks it.
func Lines(text []byte, problems []Problem) string {
	lines := linesOf(text)
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

// linesOf returns the line of each value of a JSON text by its pointer, as far as the
// text can be read.
func linesOf(text []byte) map[string]int {
	walk := &walker{decoder: json.NewDecoder(bytes.NewReader(text)), text: text, found: map[string]int{}}
	walk.value("")
	return walk.found
}

type walker struct {
	decoder *json.Decoder
	text    []byte
	found   map[string]int
}

// next reads a token and returns it with its line.
func (w *walker) next() (json.Token, int, bool) {
	token, err := w.decoder.Token()
	if err != nil {
		return nil, 0, false
	}
	return token, 1 + bytes.Count(w.text[:w.decoder.InputOffset()], []byte("\n")), true
}

// value reads the value at a pointer and reports whether the text goes on.
func (w *walker) value(path string) bool {
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

func (w *walker) object(path string) bool {
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

func (w *walker) list(path string) bool {
	for i := 0; w.decoder.More(); i++ {
		if !w.value(path + Pointer(strconv.Itoa(i))) {
			return false
		}
	}
	_, _, ok := w.next()
	return ok
}
