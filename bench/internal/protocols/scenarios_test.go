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

// scenarios are an operator's days; those in the directory above run elsewhere.
const scenarios = "../../../test/operators"

// awaitLimit bounds a wait for an output; the machine may be busy.
const awaitLimit = 90 * time.Second

// wanted are the deployment and the weights that a scenario works on.
type wanted struct {
	deployment *deployment.Deployment
	version    string
}

func TestScenarios(t *testing.T) {
	bin := programs(t)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	t.Cleanup(cancel) // the scripts run after this function returns
	on := &wanted{}
	on.start(ctx, t, bin)
	testscript.Run(t, testscript.Params{
		Dir: scenarios,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("ENTRY", on.deployment.Entries()[0].CallersAddress())
			env.Setenv("OTHER", on.deployment.Entries()[1].CallersAddress())
			env.Setenv("OPERATOR_KEY", deployment.OperatorKey)
			env.Setenv("VERSION", on.version)
			const mode = 0o600
			return os.WriteFile(filepath.Join(env.WorkDir, "operator.key"), []byte(deployment.OperatorKey+"\n"), mode)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"awaits": awaits,
			"exits":  exits,
			"kv":     on.kv,
		},
	})
}

// start starts a deployment in which no document is in force.
func (w *wanted) start(ctx context.Context, t *testing.T, bin string) {
	t.Helper()
	started, err := deployment.Start(ctx, deployment.Config{
		Bin: bin, Log: new(lineLog), Places: deployment.Quetzal(), Entries: entries, Hosts: 3,
		Engine: deployment.Engine{LoadTime: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	made, err := started.Publish(ctx, deployment.Publication{Model: deployment.ModelName, Mib: 1, ChunkKib: 64, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := started.WaitRoutable(ctx); err != nil {
		t.Fatal(err)
	}
	w.deployment, w.version = started, made.Version
}

// exits runs a program that has to end with the exit code given: exits code
// program arguments.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits code program arguments")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var ended *exec.ExitError
		if !errors.As(err, &ended) {
			ts.Fatalf("%s: %v", args[1], err)
		}
		got = ended.ExitCode()
	}
	if got != want {
		ts.Fatalf("%s: got exit %d, want %d", strings.Join(args[1:], " "), got, want)
	}
}

// awaits runs a program again until its output matches: awaits regexp program
// arguments.
func awaits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: awaits regexp program arguments")
	}
	want, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	for end := time.Now().Add(awaitLimit); time.Now().Before(end); time.Sleep(pause) {
		_ = ts.Exec(args[1], args[2:]...) // the output shows it
		if want.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("%s: got no output like %q within %v", strings.Join(args[1:], " "), args[0], awaitLimit)
}

// kv takes the key-value service down or up again: kv down|up.
func (w *wanted) kv(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 || (args[0] != "down" && args[0] != "up") {
		ts.Fatalf("usage: kv down|up")
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	ts.Check(w.deployment.SetKVFaults(ctx, deployment.KVFaults{Down: args[0] == "down"}))
}
