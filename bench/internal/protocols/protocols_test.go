package protocols

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/bench/internal/deployment"
)

const (
	// binVariable names the environment variable, set by make, that holds the
	// directory of the built programs.
	binVariable = "COMFREY_BIN"
	// startTimeout limits the deployment's start. It is generous because the
	// machine may be busy.
	startTimeout = 3 * time.Minute
	// callTimeout limits one request.
	callTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// maxResponseBytes limits how much of a response body is read, in bytes.
	maxResponseBytes = 4 << 20
	entryCount       = 3
)

// customer is the customer that the page uses.
var customer = deployment.Customer{Name: "quetzal", Priority: 5}

// client opens a new connection for each request, as curl does.
var client = &http.Client{
	Timeout:       callTimeout,
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// TestPage guards against documentation that no longer matches the code, so that
// a program written from the page gets different answers than the page shows.
func TestPage(t *testing.T) {
	bin := programDir(t)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	log := new(syncBuffer)
	started, version := startDeployment(ctx, t, bin, log)
	runner := newExampleRunner(started.Entries()[0].CallersAddress(), version)
	for _, shown := range readPage(t) {
		runner.runExample(t, shown)
	}
	if t.Failed() {
		t.Log("log of the deployment:\n" + log.String())
	}
}

// programDir returns the directory of the built programs and skips the test if
// none is set.
func programDir(t *testing.T) string {
	t.Helper()
	bin := os.Getenv(binVariable)
	if bin == "" {
		t.Skip("the programs are not built: run make test")
	}
	if _, err := os.Stat(filepath.Join(bin, "comfreyentry")); err != nil {
		t.Fatalf("programs in %s: got %v, want them built by make build", binVariable, err)
	}
	return bin
}

// startDeployment starts a deployment in which revision 1 is in force and every
// entry knows every host and entry. It also returns the published version.
func startDeployment(ctx context.Context, t *testing.T, bin string, log io.Writer) (*deployment.Deployment, string) {
	t.Helper()
	started, err := deployment.Start(ctx, deployment.Config{
		Bin: bin, Log: log, Places: deployment.Quetzal(), Entries: entryCount, Hosts: 3, Services: 1,
		Engine: deployment.Engine{TokenInterval: time.Millisecond, FirstTokenTime: time.Millisecond, LoadTime: time.Millisecond},
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
	doc := started.Document(deployment.Desired{
		Version: publication.Version, Objective: deployment.ObjectiveTime, Customers: []deployment.Customer{customer}, MaxUnavailable: 1, Shift: "asHostsTurn",
	})
	if _, err := started.Submit(ctx, started.Entries()[0], 0, doc, "first"); err != nil {
		t.Fatal(err)
	}
	if err := started.WaitAnswering(ctx, customer); err != nil {
		t.Fatal(err)
	}
	for _, entry := range started.Entries() {
		if err := waitForTopology(ctx, entry.CallersAddress()); err != nil {
			t.Fatal(err)
		}
	}
	return started, publication.Version
}

// waitForTopology waits until the entry reports the other entries, a finished
// rollout and all nodes.
func waitForTopology(ctx context.Context, entry string) error {
	for {
		err := checkTopology(ctx, entry)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry %s: %w", entry, err)
		case <-time.After(pollInterval):
		}
	}
}

var errNotReady = errors.New("deployment is not ready")

// checkTopology returns an error while the entry reports an incomplete directory,
// rollout or list of nodes.
func checkTopology(ctx context.Context, entry string) error {
	var directory struct {
		Spares []string `json:"spares"`
	}
	var rollout struct {
		Done bool `json:"done"`
	}
	var status struct {
		Nodes []struct {
			Role string `json:"role"`
		} `json:"nodes"`
	}
	for path, into := range map[string]any{"/v1/entries": &directory, "/v1/rollout": &rollout, "/v1/status": &status} {
		key := deployment.OperatorKey
		if path == "/v1/entries" {
			key = customer.Key()
		}
		if err := get(ctx, "http://"+entry+path, key, into); err != nil {
			return err
		}
	}
	const nodes = entryCount + 4
	if len(directory.Spares) != entryCount-1 || !rollout.Done || len(status.Nodes) != nodes {
		return fmt.Errorf("%w: %d spares, rollout done %t, %d nodes", errNotReady, len(directory.Spares), rollout.Done, len(status.Nodes))
	}
	return nil
}

// get decodes the JSON answer to an authorized GET request into a value.
func get(ctx context.Context, address, key string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	status, text, err := send(req)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d: %s", errNotReady, status, text)
	}
	return json.Unmarshal([]byte(text), into)
}

// send sends a request and returns the status and body of the response.
func send(req *http.Request) (status int, text string, err error) {
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, string(body), err
}

// exampleRunner runs the page's examples in order and keeps the shell variables
// that they use.
type exampleRunner struct {
	shell *shell
	vars  map[string]string
}

func newExampleRunner(entry, version string) *exampleRunner {
	r := &exampleRunner{vars: map[string]string{
		"ENTRY":             entry,
		"KEY":               customer.Key(),
		"KEY_HASH":          deployment.KeyHash(customer.Key()),
		"OPERATOR_KEY":      deployment.OperatorKey,
		"OPERATOR_KEY_HASH": deployment.KeyHash(deployment.OperatorKey),
		"VERSION":           version,
		"ONCE":              uuid.Must(uuid.NewV7()).String(),
	}}
	r.shell = &shell{vars: r.variable, files: map[string]string{}}
	return r
}

// variable returns the value of a shell variable; ID is new each time.
func (r *exampleRunner) variable(name string) (string, bool) {
	if name == "ID" {
		return uuid.Must(uuid.NewV7()).String(), true
	}
	value, found := r.vars[name]
	return value, found
}

// runExample runs an example and compares its last answer with the documented one.
func (r *exampleRunner) runExample(t *testing.T, shown example) {
	t.Helper()
	location := fmt.Sprintf("line %d (%s)", shown.line, shown.heading)
	status, text := 0, ""
	err := r.shell.commands(shown.script, func(cmd command) error {
		if r.shell.writeFile(cmd) {
			return nil
		}
		req, err := r.shell.request(cmd)
		if err != nil {
			return err
		}
		status, text, err = send(req)
		return err
	})
	if err != nil {
		t.Errorf("%s: %v", location, err)
		return
	}
	if status != shown.status {
		t.Errorf("%s: got status %d, want %d: %s", location, status, shown.status, text)
		return
	}
	answer, err := r.shell.expand(shown.answer)
	if err != nil {
		t.Errorf("%s: %v", location, err)
		return
	}
	compare := compareJSON
	if shown.format == "text" {
		compare = compareEvents
	}
	differences, err := compare(answer, text)
	if err != nil {
		t.Errorf("%s: %v", location, err)
	}
	for _, difference := range differences {
		t.Errorf("%s: %s", location, difference)
	}
	r.updateVars(shown, text)
}

// updateVars sets ENTRY and OWNER from an answer of /v1/entries, as the page
// instructs: the entry to connect to and the owner of once keys.
func (r *exampleRunner) updateVars(shown example, text string) {
	if !strings.Contains(shown.script, "/v1/entries") {
		return
	}
	var directory struct {
		Use   string `json:"use"`
		Owner string `json:"owner"`
	}
	if json.Unmarshal([]byte(text), &directory) == nil && directory.Use != "" {
		r.vars["ENTRY"], r.vars["OWNER"] = directory.Use, directory.Owner
	}
}
