package protocols

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// wildcard in a documented string makes it match any string.
const wildcard = "..."

// compareValue returns the differences between an answer and the documented one:
// missing keys, values of another type, and different strings or booleans. Numbers
// match any number, and additional keys are allowed.
func compareValue(path string, shown, got any) []string {
	switch shown := shown.(type) {
	case map[string]any:
		got, ok := got.(map[string]any)
		if !ok {
			return mismatch(path, "an object", got)
		}
		var differences []string
		for key, value := range shown {
			found, ok := got[key]
			if !ok {
				differences = append(differences, path+"/"+key+": the answer lacks this key")
				continue
			}
			differences = append(differences, compareValue(path+"/"+key, value, found)...)
		}
		return differences
	case []any:
		return compareList(path, shown, got)
	case string:
		if got, ok := got.(string); !ok || (!strings.Contains(shown, wildcard) && got != shown) {
			return mismatch(path, shown, got)
		}
	case float64:
		if _, ok := got.(float64); !ok {
			return mismatch(path, "a number", got)
		}
	default: // true, false, null
		if got != shown {
			return mismatch(path, shown, got)
		}
	}
	return nil
}

// compareList compares each item with the single documented item. A documented
// empty list matches only an empty list.
func compareList(path string, shown []any, got any) []string {
	items, ok := got.([]any)
	if !ok {
		return mismatch(path, "a list", got)
	}
	if (len(shown) == 0) != (len(items) == 0) || len(shown) > 1 {
		return mismatch(path, shown, got)
	}
	var differences []string
	for i, item := range items {
		differences = append(differences, compareValue(fmt.Sprintf("%s/%d", path, i), shown[0], item)...)
	}
	return differences
}

// mismatch describes a single difference.
func mismatch(path string, want, got any) []string {
	return []string{fmt.Sprintf("%s: got %v, want %v", path, got, want)}
}

// compareJSON compares a JSON answer with the documented one.
func compareJSON(shown, got string) ([]string, error) {
	var shownValue, gotValue any
	if err := json.Unmarshal([]byte(shown), &shownValue); err != nil {
		return nil, fmt.Errorf("documented answer is not valid JSON: %w", err)
	}
	if err := json.Unmarshal([]byte(got), &gotValue); err != nil {
		return nil, fmt.Errorf("answer is not valid JSON: %w: %s", err, got)
	}
	return compareValue("", shownValue, gotValue), nil
}

// event is a server-sent event.
type event struct{ name, data string }

// parseEvents parses an event stream. Of consecutive events with the same name it
// keeps only the first.
func parseEvents(text string) ([]event, error) {
	var events []event
	for block := range strings.SplitSeq(strings.TrimSpace(text), "\n\n") {
		name, data, found := strings.Cut(strings.TrimSpace(block), "\n")
		if !found || !strings.HasPrefix(name, "event: ") || !strings.HasPrefix(data, "data: ") {
			return nil, fmt.Errorf("malformed event: %q", block)
		}
		next := event{strings.TrimPrefix(name, "event: "), strings.TrimPrefix(data, "data: ")}
		if last := len(events) - 1; last >= 0 && events[last].name == next.name {
			continue
		}
		events = append(events, next)
	}
	return events, nil
}

// compareEvents compares two streams event by event.
func compareEvents(shown, got string) ([]string, error) {
	shownEvents, err := parseEvents(shown)
	if err != nil {
		return nil, err
	}
	gotEvents, err := parseEvents(got)
	if err != nil {
		return nil, err
	}
	if len(shownEvents) != len(gotEvents) {
		return mismatch("", shownEvents, gotEvents), nil
	}
	var differences []string
	for i, want := range shownEvents {
		if gotEvents[i].name != want.name {
			differences = append(differences, mismatch(want.name, want.name, gotEvents[i].name)...)
			continue
		}
		dataDifferences, err := compareJSON(want.data, gotEvents[i].data)
		if err != nil {
			return nil, err
		}
		differences = append(differences, dataDifferences...)
	}
	return differences, nil
}

// TestCompare checks which differences compareJSON and compareEvents report.
func TestCompare(t *testing.T) {
	tests := []struct {
		shown, got string
		wrong      int
	}{
		{`{"a": "...", "n": 1, "b": true}`, `{"a": "x", "n": 9, "b": true, "more": 1}`, 0},
		{`{"a": "...", "n": 1}`, `{"a": "x"}`, 1},
		{`{"a": {"b": 1}}`, `{"a": {}}`, 1},
		{`{"a": [{"b": 1}]}`, `{"a": [{"b": 1}, {"c": 1}]}`, 1},
		{`{"a": [1]}`, `{"a": []}`, 1},
		{`{"a": []}`, `{"a": [1]}`, 1},
		{`{"outcome": "answered"}`, `{"outcome": "unknown"}`, 1},
		{`{"b": false, "n": 1, "a": "..."}`, `{"b": true, "n": "1", "a": 1}`, 3},
		{`{"a": [1]}`, `{"a": null}`, 1},
	}
	for _, test := range tests {
		wrong, err := compareJSON(test.shown, test.got)
		if err != nil || len(wrong) != test.wrong {
			t.Errorf("got %q, %v for %s against %s, want %d differences", wrong, err, test.got, test.shown, test.wrong)
		}
	}
	shown := "event: begin\ndata: {\"v\": \"...\"}\n\nevent: tokens\ndata: {\"tokens\": [\"...\"]}\n\nevent: end\ndata: {\"count\": 3}\n"
	got := "event: begin\ndata: {\"v\":\"1\"}\n\nevent: tokens\ndata: {\"tokens\":[\"a\"]}\n\nevent: tokens\ndata: {\"tokens\":[\"b\",\"c\"]}\n\n" +
		"event: end\ndata: {\"count\":3}\n\n"
	if wrong, err := compareEvents(shown, got); err != nil || len(wrong) != 0 {
		t.Errorf("got %q, %v for two like streams, want none", wrong, err)
	}
	if wrong, err := compareEvents(shown, got[:strings.Index(got, "event: end")]); err != nil || len(wrong) == 0 {
		t.Errorf("got %q, %v for a stream without its end, want a difference", wrong, err)
	}
}
