package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/document"
)

func TestInitWritesAValidDocumentOnce(t *testing.T) {
	name := filepath.Join(t.TempDir(), "document.json")
	var out, errOut bytes.Buffer
	term := &terminal{out: &out, errOut: &errOut, clock: clockwork.NewRealClock()}
	if got, want := run(t.Context(), "test", []string{"init", name, "--json"}, term), cli.ExitOK; got != want {
		t.Fatalf("got exit %d (%s), want %d", got, errOut.String(), want)
	}
	var keys initResult
	if err := json.Unmarshal(out.Bytes(), &keys); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	doc, problems := document.Parse(text)
	if len(problems) > 0 {
		t.Fatalf("got problems %v, want none", problems)
	}
	if got, want := doc.GetOperators()[0].GetKeyHashes()[0], document.KeyHash(keys.OperatorKey); got != want {
		t.Errorf("got operator key hash %s, want %s", got, want)
	}
	if got, want := run(t.Context(), "test", []string{"init", name}, term), cli.ExitUsage; got != want {
		t.Errorf("got exit %d for a file that exists, want %d", got, want)
	}
}
