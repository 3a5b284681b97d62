package policy

import (
	"encoding/json"
	"testing"
)

func mustMarshal(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
