package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/relay/site"
)

// lateCopyScript sends a request to an endpoint that rejects it, repeats the rejection and gets the request again.
type lateCopyScript struct {
	judge   *runJudge
	h       *deployment
	process *faultyEndpoint // registered as i-former first, then as i-1
	other   *faultyEndpoint // registered when the process gets the request again
	sent    int
}

// run executes "send PATH status=STATUS id=own|none [late]": the process rejects the first request with the status, repeats
// that, late or at once, and runs what comes next.
func (s *lateCopyScript) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	rejection := drawnAnswer{Statement: true, From: "own", Framing: "length", Then: "keep", Extra: "copy", ExtraLate: d.HasArg("late")}
	d.ScanArgs(t, "status", &rejection.Status)
	d.ScanArgs(t, "id", &rejection.ID)
	runs := drawnAnswer{Runs: true, Status: http.StatusOK, Signed: true, ID: "own", Framing: "length", Then: "keep", Events: streamEvents}
	s.judge = newRunJudge()
	defer s.judge.finish()
	s.h = newDeployment(t)
	s.process = newFaultyEndpoint(t, "i-1", []drawnAnswer{rejection, runs}, s.judge)
	s.other = newFaultyEndpoint(t, "i-2", []drawnAnswer{runs}, s.judge)
	requests := 0
	s.process.onRequest = func(string) {
		requests++
		if requests == 1 {
			s.h.state.Apply([]site.Record{s.process.registration("i-1")}, 3)
		} else {
			s.h.state.Apply([]site.Record{s.other.registration("i-2")}, 4)
		}
	}
	s.h.state.Apply([]site.Record{s.process.registration("i-former")}, 2)
	s.sent++
	req := drawnRequest{Path: d.CmdArgs[0].Key, Body: "b", Deadline: 5 * time.Second, id: fmt.Sprint("r-", s.sent)}
	from := &caller{address: s.h.server.Listener.Addr().String()}
	defer from.drop()
	got := from.send(req)
	s.judge.check(req, got)
	out := fmt.Sprintf("%d, %d runs, %d connections\n", got.status, s.judge.runs[req.id], len(s.judge.conns[req.id]))
	for _, wrong := range s.judge.wrong {
		out += wrong + "\n"
	}
	return out
}

// Guards against taking an endpoint's late copy of a rejection for its answer to the second send of the
// same request: a request that must run once ran twice.
func TestLateCopyOfRejectionProvesNothingForSecondSend(t *testing.T) {
	datadriven.Walk(t, "testdata/late_copies", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, (&lateCopyScript{}).run)
	})
}
