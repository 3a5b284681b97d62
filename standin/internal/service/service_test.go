package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/standin/internal/answer"
)

func TestCallsShareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := New(Options{CallTime: time.Second, Slots: 2, Clock: clockwork.NewRealClock()})
		start := time.Now()
		var calls sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		const sent = 2*(1+queuePerSlot) + 3
		for range sent {
			calls.Go(func() {
				if _, err := one.Call(t.Context(), "a", nil); err != nil {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		calls.Wait()
		if got, want := time.Since(start), (1+queuePerSlot)*time.Second; got != want {
			t.Errorf("time: got %v, want %v", got, want)
		}
		record := one.Ledger(true)
		if refused != 3 || record.Refused != 3 || record.RunsByID["a"] != sent-3 || record.MaxRuns != sent-3 {
			t.Errorf("got %d refused and %+v, want 3 and %d runs", refused, record, sent-3)
		}
	})
}

func TestStalledCallIsNotRunWhenItsClientGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := New(Options{CallTime: time.Second, Slots: 1, Clock: clockwork.NewRealClock()})
		one.SetFaults(Faults{Stall: true})
		ctx, leave := context.WithTimeout(t.Context(), time.Minute)
		defer leave()
		if _, err := one.Call(ctx, "a", nil); err == nil {
			t.Error("stalled: got an answer, want an error")
		}
		if got := one.Ledger(false).Runs; got != 0 {
			t.Errorf("runs: got %d, want 0", got)
		}
		one.SetFaults(Faults{})
		if _, err := one.Call(t.Context(), "a", nil); err != nil {
			t.Errorf("healthy: got %v, want none", err)
		}
	})
}

func TestHandler(t *testing.T) {
	one := New(Options{Slots: 1, Clock: clockwork.NewRealClock()})
	server := httptest.NewServer(one.Handler())
	defer server.Close()
	post := func(path, body string) (int, string) {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			return 0, err.Error()
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, string(text)
	}
	status, body := post("/call", `{"requestId":"a","body":"eA=="}`)
	var reply struct {
		Body []byte `json:"body"`
	}
	if err := json.Unmarshal([]byte(body), &reply); err != nil || status != http.StatusOK || string(reply.Body) != string(answer.Service([]byte("x"))) {
		t.Errorf("call: got %d %q, want 200 and the service's answer", status, body)
	}
	if status, _ := post("/call", `{"body":"eA=="}`); status != http.StatusBadRequest {
		t.Errorf("no id: got %d, want 400", status)
	}
	post("/faults", `{"failBeforeRun":1}`)
	if status, _ := post("/call", `{"requestId":"b"}`); status != http.StatusServiceUnavailable {
		t.Errorf("refused: got %d, want 503", status)
	}
	post("/faults", `{"loseReply":1}`)
	if status, _ := post("/call", `{"requestId":"c"}`); status != 0 {
		t.Errorf("lost reply: got %d, want a broken connection", status)
	}
	post("/faults", `{"dead":true}`)
	if status, _ := post("/call", `{"requestId":"d"}`); status != 0 {
		t.Errorf("dead: got %d, want a broken connection", status)
	}
	record := one.Ledger(true)
	if record.RunsByID["a"] != 1 || record.RunsByID["b"] != 0 || record.RunsByID["c"] != 1 || record.RunsByID["d"] != 0 || record.LostReplies != 1 {
		t.Errorf("ledger: got %+v, want runs of a and c only", record)
	}
}
