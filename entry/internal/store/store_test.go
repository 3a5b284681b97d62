package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// scriptEnv runs script commands against one key-value service and the entries
// that write to it.
type scriptEnv struct {
	t         *testing.T
	clock     *clockwork.FakeClock
	service   *faultyService
	entries   map[string]*Store
	collector *Collector
}

func newScriptEnv(t *testing.T) *scriptEnv {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 7, 9, 0, 0, 0, time.UTC))
	return &scriptEnv{t: t, clock: clock, service: newFaultyService(clock), entries: map[string]*Store{}}
}

// entry returns the named entry's store and creates it on first use.
func (s *scriptEnv) entry(name string) *Store {
	if s.entries[name] == nil {
		s.entries[name] = New(s.service.store(), NewPartCache(1<<20), s.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
		s.entries[name].runAsync = func(work func()) { work() }
	}
	return s.entries[name]
}

// sample returns the example document with the given priority for its customer.
func sample(priority int) *wire.Document {
	doc := document.Example()
	doc.Customers[0].Priority = uint32(priority)
	return doc
}

// TestScripts runs the scripts in testdata. Each starts with a comment that
// describes its failure case.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		env := newScriptEnv(t)
		datadriven.RunTest(t, path, func(t *testing.T, cmd *datadriven.TestData) string {
			return env.run(t, cmd)
		})
	})
}

func (s *scriptEnv) run(t *testing.T, cmd *datadriven.TestData) string {
	switch cmd.Cmd {
	case "submit":
		return s.submit(t, cmd)
	case "rollback":
		var to, base int
		cmd.ScanArgs(t, "to", &to)
		cmd.ScanArgs(t, "base", &base)
		root, err := s.entry("a").Rollback(s.context(), uint32(to), Submission{BaseRevision: uint32(base), SubmissionID: "rollback", Operator: "marta"})
		return s.formatResult(root, err)
	case "fault":
		var planned fault
		cmd.ScanArgs(t, "key", &planned.prefix)
		cmd.ScanArgs(t, "kind", &planned.kind)
		s.service.faults = append(s.service.faults, planned)
	case "down":
		s.service.down = true
	case "up":
		s.service.down = false
	case "deliver":
		s.service.deliver()
	case "crash":
		delete(s.entries, "a")
	case "audit":
		return s.audit()
	case "keys":
		return s.keys()
	case "advance":
		var by time.Duration
		text := ""
		cmd.ScanArgs(t, "by", &text)
		by, _ = time.ParseDuration(text)
		s.clock.Advance(by)
	case "collect":
		return s.collect()
	default:
		t.Fatalf("unknown command %s", cmd.Cmd)
	}
	return ""
}

func (s *scriptEnv) context() context.Context { return s.t.Context() }

func (s *scriptEnv) submit(t *testing.T, cmd *datadriven.TestData) string {
	var base, priority int
	id, name := "", "a"
	cmd.ScanArgs(t, "base", &base)
	cmd.ScanArgs(t, "priority", &priority)
	cmd.ScanArgs(t, "id", &id)
	cmd.MaybeScanArgs(t, "entry", &name)
	ctx, cancel := context.WithCancel(s.context())
	defer cancel()
	ended := make(chan struct{})
	go s.advanceRetries(ctx, ended, cancel)
	root, err := s.entry(name).Submit(ctx, Submission{
		Document: sample(priority), BaseRevision: uint32(base), SubmissionID: id,
		Operator: "marta", FromAddress: "10.0.0.7", Reason: "because",
	})
	close(ended)
	return s.formatResult(root, err)
}

// advanceRetries advances the clock through the delays between attempts. After
// six of them it cancels the submission, as a request deadline would.
func (s *scriptEnv) advanceRetries(ctx context.Context, ended chan struct{}, cancel func()) {
	for range 6 {
		if s.clock.BlockUntilContext(ctx, 1) != nil {
			return
		}
		select {
		case <-ended:
			return
		default:
		}
		s.clock.Advance(retryDelay)
	}
	cancel()
}

// formatResult returns the outcome of a submission as script output.
func (s *scriptEnv) formatResult(root *wire.Root, err error) string {
	if err == nil {
		return fmt.Sprintf("accepted as revision %d\n", root.GetRevision())
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return fmt.Sprintf("conflict with revision %d\ntheirs:\n%syours:\n%s", conflict.CurrentRevision(),
			changesText(conflict.Theirs()), changesText(conflict.Yours()))
	}
	return fmt.Sprintf("%s: %v\n", failure.KindOf(err), err)
}

func changesText(changes []*wire.Change) string {
	var out strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&out, "  %s: %s -> %s\n", change.GetPath(), change.GetBefore(), change.GetAfter())
	}
	return out.String()
}

func (s *scriptEnv) audit() string {
	trail, err := s.entry("a").Audit(s.context(), 1, 50)
	if err != nil {
		return fmt.Sprintf("%s: %v\n", failure.KindOf(err), err)
	}
	var out strings.Builder
	for _, record := range trail {
		fmt.Fprintf(&out, "%d on %d by %s from %s at %s: %s (%s)\n", record.GetRevision(), record.GetBaseRevision(),
			record.GetOperator(), record.GetFromAddress(), record.GetAt().AsTime().Format("15:04:05"), record.GetReason(), record.GetSubmissionId())
	}
	return out.String()
}

func (s *scriptEnv) keys() string {
	found, _ := s.service.memory.List("document/")
	parts := 0
	var out strings.Builder
	for _, entry := range found {
		if strings.HasPrefix(entry.Key(), PartsPrefix) {
			parts++
			continue
		}
		fmt.Fprintln(&out, entry.Key())
	}
	fmt.Fprintf(&out, "parts: %d\n", parts)
	return out.String()
}

func (s *scriptEnv) collect() string {
	if s.collector == nil {
		s.collector = NewCollector(s.entry("sweeper"))
	}
	deleted, err := s.collector.Pass(s.context())
	if err != nil {
		return fmt.Sprintf("%s\n", failure.KindOf(err))
	}
	return fmt.Sprintf("deleted %d\n", deleted)
}

func TestPartsCacheIsBounded(t *testing.T) {
	parts := NewPartCache(100)
	var hashes []string
	for i := range 10 {
		content := []byte(strings.Repeat(fmt.Sprint(i), 30))
		hash := document.HashBytes(content)
		hashes = append(hashes, hash)
		if !parts.Add(hash, content) {
			t.Fatalf("got part %d rejected, want it cached", i)
		}
	}
	if got, want := parts.bytes, 90; got != want {
		t.Errorf("got %d bytes cached, want %d", got, want)
	}
	if parts.Has(hashes[0]) || !parts.Has(hashes[9]) {
		t.Errorf("got the oldest part kept or the newest dropped, want the reverse")
	}
	if parts.Add(hashes[0], []byte("other")) {
		t.Errorf("got a part cached whose bytes do not match its hash, want it rejected")
	}
}

func TestLongDiffIsBounded(t *testing.T) {
	var changes []*wire.Change
	for i := range 2000 {
		changes = append(changes, &wire.Change{Path: fmt.Sprintf("/customers/c%d", i), After: "1"})
	}
	audit := &wire.Audit{Diff: truncateDiff(changes)}
	if got := proto.Size(audit); got > maxDiffBytes+200 {
		t.Errorf("got a record of %d bytes, want at most %d", got, maxDiffBytes+200)
	}
	if last := audit.GetDiff()[len(audit.GetDiff())-1]; last.GetPath() != "" {
		t.Errorf("got the last change at %q, want a marker that more changes were omitted", last.GetPath())
	}
}
