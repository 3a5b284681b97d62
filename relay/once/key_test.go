package once

import (
	"testing"
	"time"

	"github.com/google/uuid"
)

func TestKeyRoundTrip(t *testing.T) {
	owner := uuid.Must(uuid.NewV7()).String()
	key := NewKey(owner, idAt(testStart, 7))
	got, err := Parse(key.String())
	if err != nil {
		t.Fatal(err)
	}
	if got != key {
		t.Errorf("got %v, want %v", got, key)
	}
	if got := key.Created(); !got.Equal(testStart) {
		t.Errorf("got made %v, want %v", got, testStart)
	}
}

// FuzzParse checks that Parse accepts a key only in its canonical form: a store
// that compares bytes would treat two spellings of one key as two keys.
func FuzzParse(f *testing.F) {
	id := idAt(time.UnixMilli(1), 1).String()
	for _, seed := range []string{"", id, id + "." + id, "urn:uuid:" + id, "{" + id + "}", id + ".", "." + id, "A" + id[1:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := Parse(text)
		if err == nil && key.String() != text {
			t.Errorf("got %q, want %q", key, text)
		}
	})
}
