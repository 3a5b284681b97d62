package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/settings"
	"comfreyrelay.example/relay/wire"
)

// TestScripts runs testdata/scripts/*.txt. "entry" and "agent" load the input as a
// settings file. Input that begins with "+" loads the smallest valid file, with the
// words after the "+" as overrides.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			file := filepath.Join(t.TempDir(), d.Cmd+".json")
			text := []byte(d.Input)
			if strings.HasPrefix(d.Input, "+") {
				text = minimalSettings(t, d.Cmd)
			}
			if err := os.WriteFile(file, text, 0o600); err != nil {
				t.Fatal(err)
			}
			overrides := strings.Fields(strings.TrimPrefix(d.Input, "+"))
			if !strings.HasPrefix(d.Input, "+") {
				overrides = nil
			}
			set, err := loadWith(t, d.Cmd, file, overrides)
			if err != nil {
				if got, want := failure.KindOf(err), failure.Invalid; got != want {
					t.Errorf("got kind %v, want %v", got, want)
				}
				return strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", "") + "\n"
			}
			return render(t, set)
		})
	})
}

func minimalSettings(t *testing.T, program string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + program + ".json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func loadWith(t *testing.T, program, file string, overrides []string) (proto.Message, error) {
	t.Helper()
	if program == "entry" {
		return settings.LoadEntryWith(file, overrides)
	}
	return settings.LoadAgentWith(file, overrides)
}

// render prints one field per line and normalizes the white space, which protojson
// varies.
func render(t *testing.T, set proto.Message) string {
	t.Helper()
	text, err := protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(string(text), ":  ", ": ") + "\n"
}

func TestSchemasArePublished(t *testing.T) {
	for _, name := range []string{"entry.schema.json", "agent.schema.json"} {
		embedded, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		published, err := os.ReadFile("../../docs/settings-" + name)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(embedded, published) {
			t.Errorf("got docs/settings-%s unlike the embedded schema, want the same bytes", name)
		}
	}
}

// TestSchemasHaveEveryField fails if a wire field is missing from the schema,
// because it could not be set.
func TestSchemasHaveEveryField(t *testing.T) {
	for program, set := range map[string]proto.Message{"entry": &wire.EntrySettings{}, "agent": &wire.AgentSettings{}} {
		text, err := os.ReadFile(program + ".schema.json")
		if err != nil {
			t.Fatal(err)
		}
		fields := set.ProtoReflect().Descriptor().Fields()
		node := (&wire.NodeSettings{}).ProtoReflect().Descriptor().Fields()
		var names []string
		for i := range fields.Len() {
			names = append(names, fields.Get(i).JSONName())
		}
		for i := range node.Len() {
			names = append(names, node.Get(i).JSONName())
		}
		for _, name := range names {
			if !bytes.Contains(text, []byte(`"`+name+`": {`)) {
				t.Errorf("got no %q in the schema of %s, want every wire field", name, program)
			}
		}
	}
}

func TestNoFile(t *testing.T) {
	for _, name := range []string{"", filepath.Join(t.TempDir(), "none.json")} {
		_, err := settings.LoadEntry(name)
		if got, want := failure.KindOf(err), failure.Invalid; got != want {
			t.Errorf("%q: got %v (%v), want %v", name, got, err, want)
		}
	}
}
