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
	// binVariable names the directory of the built programs; make sets it.
	binEnv    = "COMFREY_BIN"
	scriptDir = "../../../test"
	// awaitLimit bounds one wait for a line of output; the machine may be busy.
	awaitTimeout  = 90 * time.Second
	awaitInterval = 50 * time.Millisecond
)

var programs = []string{"comfreyentry", "comfreyagent", "comfreyctl", "comfreystandin", "comfreybench"}

func TestScripts(t *testing.T) {
	bin := os.Getenv(binEnv)
	if bin == "" {
		t.Skip("the programs are not built: run make test")
	}
	// The Go command keeps a test's verdict while the files that it looked at
	// stay the same: without a look at each program, an old verdict would stand
	// for new programs.
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

// await waits until the file holds a match: await file regexp.
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

// jsonEnv sets variables from a JSON file: jsonenv file NAME=path.0.to.value.
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

func lookUp(ts *testscript.TestScript, body any, path string) string {
	for key := range strings.SplitSeq(path, ".") {
		switch at := body.(type) {
		case map[string]any:
			body = at[key]
		case []any:
			i, err := strconv.Atoi(key)
			ts.Check(err)
			if i >= len(at) {
				ts.Fatalf("%s: got %d items, want more than %d", path, len(at), i)
			}
			body = at[i]
		}
	}
	text, ok := body.(string)
	if !ok {
		ts.Fatalf("%s: got %v, want a text", path, body)
	}
	return text
}

// replace writes a copy of a file with every match replaced: replace from to
// regexp text. Without a match it fails.
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
