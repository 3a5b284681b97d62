package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/settings"
)

// FuzzLoad loads arbitrary text as a settings file. It must be rejected as invalid
// or return settings, and never panic.
func FuzzLoad(f *testing.F) {
	for _, name := range []string{"testdata/entry.json", "testdata/agent.json"} {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text, "node.logLevel=debug")
	}
	directory := f.TempDir() // one per worker process
	f.Fuzz(func(t *testing.T, text []byte, override string) {
		file := filepath.Join(directory, "settings.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := settings.LoadEntryWith(file, []string{override})
		checkKind(t, err)
		_, err = settings.LoadAgentWith(file, []string{override})
		checkKind(t, err)
	})
}

func checkKind(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	if got, want := failure.KindOf(err), failure.Invalid; got != want {
		t.Errorf("got kind %v (%v), want %v", got, err, want)
	}
}
