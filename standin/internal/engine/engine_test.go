package engine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/standin/internal/answer"
)

// TestScripts runs the scripts in testdata against an engine, with fake time,
// and compares the trace of events.
func TestScripts(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("scripts: got %v, %v; want some", scripts, err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := &scriptRunner{versions: map[string]version{}}
				datadriven.RunTest(t, script, runner.run)
				runner.stop()
			})
		})
	}
}

// version is a version of weights used by a script.
type version struct {
	hash   string
	chunks []string
}

// scriptRunner executes one script on an engine and records a trace of events.
type scriptRunner struct {
	engine   *Engine
	started  time.Time
	versions map[string]version
	leave    map[string]context.CancelFunc
	calls    sync.WaitGroup

	mu    sync.Mutex
	trace []event
}

// event is a trace entry about a request or an order.
type event struct {
	at       time.Duration
	id, what string
}

func (s *scriptRunner) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "engine":
		s.open(t, d)
	case "put":
		s.put(t, d)
	case "order":
		s.order(t, d)
	case "send":
		s.send(t, d)
	case "cancel":
		s.engine.Cancel(argument(t, d, "id"))
	case "leave":
		s.leave[argument(t, d, "id")]()
	case "sleep":
		time.Sleep(duration(t, d, "for"))
	case "faults":
		var faults Faults
		if err := json.Unmarshal([]byte(d.Input), &faults); err != nil {
			d.Fatalf(t, "faults: %v", err)
		}
		s.engine.SetFaults(faults)
	case "status":
		return s.show(s.engine.Status())
	case "ledger":
		record := s.engine.Ledger(d.HasArg("accounts"))
		// Requests cut off at the same instant have no defined order.
		sort.Slice(record.Violations, func(i, j int) bool { return record.Violations[i].RequestID < record.Violations[j].RequestID })
		return s.show(record)
	case "events":
		events, next := s.engine.cache.since(uint64(number(t, d, "after")), time.Now().Add(-s.engine.options.StatusLag))
		return fmt.Sprintf("%d events, next %d\n", len(events), next)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	synctest.Wait()
	return s.flush()
}

func (s *scriptRunner) open(t *testing.T, d *datadriven.TestData) {
	s.stop()
	s.started = time.Now()
	s.leave = map[string]context.CancelFunc{}
	s.engine = New(Options{
		Slots:          number(t, d, "slots"),
		MaxQueue:       number(t, d, "queue"),
		TokenTime:      20 * time.Millisecond,
		FirstTokenTime: 60 * time.Millisecond,
		LoadTime:       200 * time.Millisecond,
		ChecksFencing:  d.HasArg("checks"),
		StatusLag:      2 * time.Second,
		CachePrefixes:  2,
		StoreBytes:     1 << 20,
		Clock:          clockwork.NewRealClock(),
	})
	if d.HasArg("lossy") {
		s.engine.cache.loss = 1
	}
}

// stop ends all running requests, as synctest requires before the test returns.
func (s *scriptRunner) stop() {
	for _, leave := range s.leave {
		leave()
	}
	s.calls.Wait()
}

// put builds a version and stores its chunks, except the one given by lack.
func (s *scriptRunner) put(t *testing.T, d *datadriven.TestData) {
	name, base, kind := argument(t, d, "version"), "", manifest.KindBase
	if d.HasArg("base") {
		base, kind = s.versions[argument(t, d, "base")].hash, manifest.KindAdapter
	}
	var data []byte
	size := 0
	for i := range number(t, d, "chunks") {
		data = fmt.Appendf(data, "%s chunk %03d", name, i)
		size = len(data) / (i + 1)
	}
	man := manifest.Build("parcel", kind, base, size, data)
	encoded, err := manifest.Encode(man)
	if err != nil {
		d.Fatalf(t, "manifest: %v", err)
	}
	made := version{hash: manifest.Version(encoded)}
	for i, sum := range man.GetChunkHashes() {
		made.chunks = append(made.chunks, hex.EncodeToString(sum))
		if d.HasArg("lack") && number(t, d, "lack") == i {
			continue
		}
		if err := s.engine.chunks.put(made.chunks[i], data[i*size:(i+1)*size]); err != nil {
			d.Fatalf(t, "put: %v", err)
		}
	}
	s.versions[name] = made
}

func (s *scriptRunner) order(t *testing.T, d *datadriven.TestData) {
	order := Order{Fence: uint64(number(t, d, "fence")), Order: d.CmdArgs[0].Key, Model: "parcel"}
	switch order.Order {
	case orderLoad:
		loaded := s.versions[argument(t, d, orderLoad)]
		order.Version, order.ChunkHashes = loaded.hash, loaded.chunks
		if d.HasArg("chunksOf") {
			order.ChunkHashes = s.versions[argument(t, d, "chunksOf")].chunks
		}
	case orderRole:
		order.Role = argument(t, d, orderRole)
	}
	if d.HasArg("adapter") {
		name := argument(t, d, "adapter")
		adapter := s.versions[name]
		order.Adapters = []AdapterOrder{{Name: "label", Version: adapter.hash, ChunkHashes: adapter.chunks}}
	}
	err := s.engine.Obey(order)
	if err != nil {
		s.note("order", "%s: %v", failure.KindOf(err), err)
		return
	}
	s.note("order", "done")
}

// send starts a request whose events are added to the trace.
func (s *scriptRunner) send(t *testing.T, d *datadriven.TestData) {
	request := Request{RequestID: argument(t, d, "id"), Model: "parcel", Prompt: argument(t, d, "id"), MaxTokens: number(t, d, "tokens")}
	if d.HasArg("model") {
		request.Model = argument(t, d, "model")
	}
	if d.HasArg("prompt") {
		request.Prompt = argument(t, d, "prompt")
	}
	if d.HasArg("long") {
		request.Prompt += strings.Repeat(".", number(t, d, "long"))
	}
	if d.HasArg("adapter") {
		request.Adapter = argument(t, d, "adapter")
	}
	if d.HasArg("priority") {
		request.Priority = uint32(number(t, d, "priority"))
	}
	if d.HasArg("resume") {
		of := s.versions[argument(t, d, "of")].hash
		for i := range number(t, d, "resume") {
			request.ResumeTokens = append(request.ResumeTokens, answer.Token(of, "", request.Prompt, i))
		}
	}
	ctx, leave := context.WithCancel(t.Context())
	s.leave[request.RequestID] = leave
	s.calls.Go(func() { s.generate(ctx, request) })
}

func (s *scriptRunner) generate(ctx context.Context, request Request) {
	id := request.RequestID
	err := s.engine.Generate(ctx, request, sink{
		begin: func(version string) error { s.note(id, "begin %s", version); return nil },
		token: func(i int, _ string) error { s.note(id, "token %d", i); return nil },
		end:   func(version string, count int) error { s.note(id, "end %s, %d tokens", version, count); return nil },
	})
	var notRun *failure.Error
	switch {
	case errors.As(err, &notRun):
		s.note(id, "not run: %s: %s", notRun.Kind(), notRun.Message())
	case err != nil:
		s.note(id, "ended: %v", err)
	}
}

func (s *scriptRunner) note(id, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trace = append(s.trace, event{at: time.Since(s.started), id: id, what: fmt.Sprintf(format, args...)})
}

// flush returns the trace since the last call. Events at the same instant have no
// defined order, so they are sorted by id.
func (s *scriptRunner) flush() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.SliceStable(s.trace, func(i, j int) bool {
		one, other := s.trace[i], s.trace[j]
		if one.at != other.at {
			return one.at < other.at
		}
		return one.id < other.id
	})
	var out strings.Builder
	for _, happened := range s.trace {
		fmt.Fprintf(&out, "%7s %s %s\n", happened.at, happened.id, happened.what)
	}
	s.trace = nil
	return s.named(out.String())
}

func (s *scriptRunner) show(body any) string {
	text, err := json.Marshal(body)
	if err != nil {
		return err.Error()
	}
	return s.named(string(text) + "\n")
}

// named replaces hashes by the names that the script uses.
func (s *scriptRunner) named(text string) string {
	for name, made := range s.versions {
		text = strings.ReplaceAll(text, made.hash, name)
		for i, chunk := range made.chunks {
			text = strings.ReplaceAll(text, chunk, fmt.Sprintf("%s#%d", name, i))
		}
	}
	return text
}

func argument(t *testing.T, d *datadriven.TestData, key string) string {
	var value string
	d.ScanArgs(t, key, &value)
	return value
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	var value int
	d.ScanArgs(t, key, &value)
	return value
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	value, err := time.ParseDuration(argument(t, d, key))
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return value
}
