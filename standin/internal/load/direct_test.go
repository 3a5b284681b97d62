package load

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/blake3"

	"comfreyrelay.example/standin/internal/engine"
)

// newEngine starts a fast engine with version v1 loaded and returns it with its URL.
func newEngine(t *testing.T) (*engine.Engine, string) {
	t.Helper()
	one := engine.New(engine.Options{
		Slots: 64, MaxQueue: 1000, TokenTime: time.Millisecond, FirstTokenTime: time.Millisecond,
		CachePrefixes: 4, StoreBytes: 16, Clock: clockwork.NewRealClock(),
	})
	server := httptest.NewServer(one.Handler())
	t.Cleanup(server.Close)
	sum := blake3.Sum256([]byte("weights"))
	hash := hex.EncodeToString(sum[:])
	put := httptest.NewRequest("PUT", "/chunks/"+hash, strings.NewReader("weights"))
	one.Handler().ServeHTTP(httptest.NewRecorder(), put)
	if err := one.Obey(engine.Order{Order: "load", Model: "parcel", Version: "v1", ChunkHashes: []string{hash}}); err != nil {
		t.Fatalf("load: got %v, want none", err)
	}
	return one, server.URL
}

func runDirect(t *testing.T, url string, versions []string, record io.Writer) Summary {
	t.Helper()
	caller, err := New(Options{
		Direct: []string{url}, Customers: []Customer{{Name: "post", Share: 1}}, Callers: 1, Versions: versions,
		Rate: 1000, Time: 100 * time.Millisecond, Model: "parcel", MaxTokens: 4, PromptGroups: 2, NonRepeatable: 0.5,
		Deadline: time.Minute, MaxInFlight: 1000,
	}, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), record)
	if err != nil {
		t.Fatalf("options: got %v, want none", err)
	}
	summary, err := caller.Run(t.Context())
	if err != nil || summary.Requests == 0 {
		t.Fatalf("run: got %d requests, %v; want some, none", summary.Requests, err)
	}
	return summary
}

func TestDirectAgreesWithTheEnginesLedger(t *testing.T) {
	one, url := newEngine(t)
	var record bytes.Buffer
	summary := runDirect(t, url, []string{"v1"}, &record)
	if summary.Answered != summary.Requests {
		t.Errorf("answered: got %d, want all %d (%v)", summary.Answered, summary.Requests, summary.Examples)
	}
	kept := one.Ledger(true)
	if kept.Totals.Completed != summary.Answered || kept.Totals.Tokens != summary.Tokens {
		t.Errorf("ledger: got %d answers of %d tokens, want %d of %d", kept.Totals.Completed, kept.Totals.Tokens, summary.Answered, summary.Tokens)
	}
	lines := 0
	for decoder := json.NewDecoder(&record); decoder.More(); lines++ {
		var line Entry
		if err := decoder.Decode(&line); err != nil {
			t.Fatalf("record: got %v, want a line", err)
		}
		if kept.RunsByID[line.RequestID].Completed != 1 || line.Outcome != Answered {
			t.Errorf("request %q: got %+v and %+v, want it answered once", line.RequestID, line, kept.RunsByID[line.RequestID])
		}
	}
	if lines != summary.Requests {
		t.Errorf("record: got %d lines, want %d", lines, summary.Requests)
	}
}

// TestDirectFaultsAreSeen guards against counting a partial or wrong answer as
// complete: the engine's connection breaks after two of four tokens, or the engine
// serves an unintended version. Only an end event of an intended version completes
// an answer.
func TestDirectFaultsAreSeen(t *testing.T) {
	one, url := newEngine(t)
	one.SetFaults(engine.Faults{DieAfterTokens: 2})
	if summary := runDirect(t, url, nil, nil); summary.CutOff != summary.Requests {
		t.Errorf("cut off: got %d, want all %d", summary.CutOff, summary.Requests)
	}
	one.SetFaults(engine.Faults{FailFast: true})
	if summary := runDirect(t, url, nil, nil); summary.NotRun != summary.Requests {
		t.Errorf("not run: got %d, want all %d", summary.NotRun, summary.Requests)
	}
	one.SetFaults(engine.Faults{})
	if summary := runDirect(t, url, []string{"v2"}, nil); summary.WrongVersion != summary.Requests {
		t.Errorf("wrong version: got %d, want all %d", summary.WrongVersion, summary.Requests)
	}
}
