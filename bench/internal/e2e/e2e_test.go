package e2e

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// binEnv names the environment variable, set by make, that holds the directory
	// of the built programs.
	binEnv    = "COMFREY_BIN"
	scriptDir = "../../../test"
	// awaitTimeout limits one await command. It is generous because the machine
	// may be busy.
	awaitTimeout  = 90 * time.Second
	awaitInterval = 50 * time.Millisecond
)

var programs = []string{"comfreyentry", "comfreyagent", "comfreyctl", "comfreystandin", "comfreybench"}

// TestScripts runs every script in scriptDir.
func TestScripts(t *testing.T) {
	bin := os.Getenv(binEnv)
	if bin == "" {
		t.Skip("the programs are not built: run make test")
	}
	// The go command caches a test result until a file that the test opened or
	// checked changes. Without a Stat of each program, a cached result would be
	// reported for newly built programs.
	for _, name := range programs {
		if _, err := os.Stat(filepath.Join(bin, name)); err != nil {
			t.Fatalf("programs in %s: got %v, want them built by make build", binEnv, err)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: scriptDir,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("BIN", bin)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"await":   await,
			"jsonenv": jsonEnv,
			"replace": replace,
		},
	})
}

// await implements "await file regexp": it waits until the file has a match.
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: await file regexp")
	}
	want, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	name := ts.MkAbs(args[0])
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(awaitInterval) {
		text, err := os.ReadFile(name)
		if err == nil && want.Match(text) {
			return
		}
	}
	ts.Fatalf("%s: got no line like %q within %v", args[0], args[1], awaitTimeout)
}

// jsonEnv implements "jsonenv file NAME=path.0.to.value": it sets environment
// variables to strings from a JSON file.
func jsonEnv(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: jsonenv file NAME=path")
	}
	var body any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &body))
	for _, assignment := range args[1:] {
		name, path, _ := strings.Cut(assignment, "=")
		ts.Setenv(name, lookUp(ts, body, path))
	}
}

// lookUp returns the string at a dotted path of object keys and list indexes.
func lookUp(ts *testscript.TestScript, body any, path string) string {
	for key := range strings.SplitSeq(path, ".") {
		switch node := body.(type) {
		case map[string]any:
			body = node[key]
		case []any:
			i, err := strconv.Atoi(key)
			ts.Check(err)
			if i >= len(node) {
				ts.Fatalf("%s: got %d items, want more than %d", path, len(node), i)
			}
			body = node[i]
		}
	}
	text, ok := body.(string)
	if !ok {
		ts.Fatalf("%s: got %v, want a string", path, body)
	}
	return text
}

// replace implements "replace from to regexp text": it writes a copy of file from
// to file to with every match replaced. It fails if there is no match.
func replace(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: replace from to regexp text")
	}
	search, err := regexp.Compile(args[2])
	ts.Check(err)
	text := ts.ReadFile(args[0])
	changed := search.ReplaceAllString(text, args[3])
	if changed == text {
		ts.Fatalf("%s: got no match of %q", args[0], args[2])
	}
	const mode = 0o600
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(changed), mode))
}
