package protocols

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"comfreyrelay.example/bench/internal/deployment"
)

// scenarioDir holds the scripts of operators' tasks. The e2e tests run the scripts
// in its parent directory.
const scenarioDir = "../../../test/operators"

// awaitTimeout limits one awaits command. It is generous because the machine may be
// busy.
const awaitTimeout = 90 * time.Second

// scenarioEnv holds the deployment and the published version that all scenarios
// use.
type scenarioEnv struct {
	deployment *deployment.Deployment
	version    string
}

// TestScenarios runs every script in scenarioDir against one deployment.
func TestScenarios(t *testing.T) {
	bin := programDir(t)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	t.Cleanup(cancel) // the scripts run after this function returns
	scenario := &scenarioEnv{}
	scenario.start(ctx, t, bin)
	testscript.Run(t, testscript.Params{
		Dir: scenarioDir,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("ENTRY", scenario.deployment.Entries()[0].CallersAddress())
			env.Setenv("OTHER", scenario.deployment.Entries()[1].CallersAddress())
			env.Setenv("OPERATOR_KEY", deployment.OperatorKey)
			env.Setenv("VERSION", scenario.version)
			const mode = 0o600
			return os.WriteFile(filepath.Join(env.WorkDir, "operator.key"), []byte(deployment.OperatorKey+"\n"), mode)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"awaits": awaits,
			"exits":  exits,
			"kv":     scenario.kv,
		},
	})
}

// start starts a deployment in which no document is in force yet.
func (w *scenarioEnv) start(ctx context.Context, t *testing.T, bin string) {
	t.Helper()
	started, err := deployment.Start(ctx, deployment.Config{
		Bin: bin, Log: new(syncBuffer), Places: deployment.Quetzal(), Entries: entryCount, Hosts: 3,
		Engine: deployment.Engine{LoadTime: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	publication, err := started.Publish(ctx, deployment.Publication{Model: deployment.ModelName, Mib: 1, ChunkKib: 64, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := started.WaitRoutable(ctx); err != nil {
		t.Fatal(err)
	}
	w.deployment, w.version = started, publication.Version
}

// exits implements "exits code program arguments": it runs a program and fails
// unless the program exits with the code.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits code program arguments")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exitErr *exec.ExitError
		if !errors.As(err, &exitErr) {
			ts.Fatalf("%s: %v", args[1], err)
		}
		got = exitErr.ExitCode()
	}
	if got != want {
		ts.Fatalf("%s: got exit %d, want %d", strings.Join(args[1:], " "), got, want)
	}
}

// awaits implements "awaits regexp program arguments": it runs a program
// repeatedly until its output matches.
func awaits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: awaits regexp program arguments")
	}
	want, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		_ = ts.Exec(args[1], args[2:]...) // a failed run is visible in its output
		if want.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("%s: got no output like %q within %v", strings.Join(args[1:], " "), args[0], awaitTimeout)
}

// kv implements "kv down|up": it makes the key-value service unavailable or
// available again.
func (w *scenarioEnv) kv(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 || (args[0] != "down" && args[0] != "up") {
		ts.Fatalf("usage: kv down|up")
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ts.Check(w.deployment.SetKVFaults(ctx, deployment.KVFaults{Down: args[0] == "down"}))
}
