package cmd

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreyrelay.example/relay/wire"
)

func TestServesWhatThePlanAssigns(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	version := b.publish("weights of the first version")
	b.assign(1, 7, version)
	b.start()
	defer b.stop()
	b.eventually("the version is served", func() bool { return b.entry.serves(version) })
	if got, want := b.run("r1", version, nil).last(), "end"; got != want {
		t.Errorf("got last frame %s, want %s", got, want)
	}
	if got, want := b.entry.last().GetFence(), uint64(7); got != want {
		t.Errorf("got fence %d in the report, want %d", got, want)
	}
}

// Guards against a rollout that truncates a response or mixes two versions in
// it. A stream runs on v1 while the plan changes to v2; loading v2 must wait for
// the drain.
func TestRollWaitsForRunningStream(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	first := b.publish("weights of the first version")
	second := b.publish("weights of the other version")
	b.engine.release = make(chan struct{})
	b.assign(1, 7, first)
	b.start()
	defer b.stop()
	b.eventually("v1 is served", func() bool { return b.entry.serves(first) })
	begun, answer := make(chan struct{}), make(chan *stream, 1)
	go func() { answer <- b.run("r1", first, begun) }()
	<-begun
	b.assign(2, 7, second)
	b.eventually("the gate drains", func() bool {
		states := b.entry.last().GetVersions()
		return len(states) == 2 && states[0].GetState() == "draining"
	})
	if got, want := b.run("r2", first, nil).last(), "refused:draining"; got != want {
		t.Errorf("got last frame %s during the drain, want %s", got, want)
	}
	close(b.engine.release)
	if got, want := (<-answer).last(), "end"; got != want {
		t.Errorf("got last frame %s of the running stream, want %s", got, want)
	}
	b.eventually("v2 is served", func() bool { return b.entry.serves(second) })
	if got := b.engine.requestsCut(); got != 0 {
		t.Errorf("got %d requests cut by an order, want 0", got)
	}
	if got, want := b.run("r3", first, nil).last(), "refused:notLoaded"; got != want {
		t.Errorf("got last frame %s for the old version, want %s", got, want)
	}
}

// Guards against SIGTERM truncating a response, or the host accepting work after
// it. The signal arrives in mid-stream and the stream ends later; the process
// must neither exit nor stay ready at the first signal.
func TestTermFinishesRunningStream(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	version := b.publish("weights of the first version")
	b.engine.release = make(chan struct{})
	b.assign(1, 7, version)
	b.start()
	b.eventually("v1 is served", func() bool { return b.entry.serves(version) })
	begun, answer := make(chan struct{}), make(chan *stream, 1)
	go func() { answer <- b.run("r1", version, begun) }()
	<-begun
	b.drain()
	b.eventually("the report says leaving", func() bool { return b.entry.last().GetLeaving() })
	if got, want := b.run("r2", version, nil).last(), "refused:leaving"; got != want {
		t.Errorf("got last frame %s after the signal, want %s", got, want)
	}
	close(b.engine.release)
	if got, want := (<-answer).last(), "end"; got != want {
		t.Errorf("got last frame %s of the running stream, want %s", got, want)
	}
	if err := <-b.done; err != nil {
		t.Errorf("the agent ended with %v", err)
	}
}

// Guards against a second SIGTERM being ignored, or a truncated response passing
// for a complete one. Two signals arrive in mid-stream; the second must abort the
// drain.
func TestSecondTermStopsAtOnce(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	version := b.publish("weights of the first version")
	b.engine.release = make(chan struct{}) // never closed
	b.assign(1, 7, version)
	b.start()
	b.eventually("v1 is served", func() bool { return b.entry.serves(version) })
	begun, answer := make(chan struct{}), make(chan *stream, 1)
	go func() { answer <- b.run("r1", version, begun) }()
	<-begun
	b.drain()
	b.kill()
	if got, want := (<-answer).last(), "broken:stopped"; got != want {
		t.Errorf("got last frame %s, want %s", got, want)
	}
	select {
	case err := <-b.done:
		if err != nil {
			t.Errorf("the agent ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the agent did not end")
	}
}

// Guards against a host that never serves. The engine confirms a load but doesn't
// perform it; the agent must not trust the reply.
func TestDroppedLoadIsRepeated(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	version := b.publish("weights of the first version")
	b.engine.drops = 1
	b.assign(1, 7, version)
	b.start()
	defer b.stop()
	b.eventually("the version is served", func() bool { return b.entry.serves(version) })
}

// Guards against a host reverting to an older version. The agent followed fence
// 9, restarts and first receives a plan with fence 7 from an entry that lags
// behind. The engine doesn't check fences, so the agent must ask it for its fence
// at startup.
func TestRestartedAgentRefusesOldFence(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	first := b.publish("weights of the first version")
	second := b.publish("weights of the other version")
	b.assign(5, 9, second)
	b.start()
	b.eventually("v2 is served", func() bool { return b.entry.serves(second) })
	b.stop()
	b.assign(4, 7, first)
	b.entry.change(func() { b.entry.reports = nil })
	b.start()
	defer b.stop()
	b.eventually("v2 is served again", func() bool { return b.entry.serves(second) })
	b.eventually("the bytes of v1 are there and the plan is refused", func() bool {
		return slices.ContainsFunc(b.entry.last().GetVersions(), func(state *wire.VersionState) bool {
			return state.GetVersion() == first && state.GetState() == "whole" && strings.Contains(state.GetHoldUp(), "older")
		})
	})
	if got, want := b.engine.obeyed(), []uint64{9}; !slices.Equal(got, want) {
		t.Errorf("got orders with fences %v, want %v", got, want)
	}
	b.assign(6, 11, first)
	b.eventually("v1 is served under a newer fence", func() bool { return b.entry.serves(first) })
}

// Guards against reverting to an older document. A stale entry sends an older
// revision and an older plan, which the agent must not apply.
func TestOlderRevisionIsIgnored(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	first := b.publish("weights of the first version")
	second := b.publish("weights of the other version")
	b.assign(5, 9, second)
	b.start()
	defer b.stop()
	b.eventually("v2 is served", func() bool { return b.entry.serves(second) })
	b.assign(4, 9, first)
	before := b.entry.last().GetSequence()
	b.eventually("some more syncs", func() bool { return b.entry.last().GetSequence() > before+3 })
	if got, want := b.entry.last().GetRevision(), uint32(5); got != want {
		t.Errorf("got revision %d in force, want %d", got, want)
	}
	if !b.entry.serves(second) {
		t.Errorf("the host left the newer version: %v", b.entry.last().GetVersions())
	}
}

// Guards against a host that never serves again after an engine restart, and
// against attempts sent to an empty engine. The engine loses its weights and
// chunks while the agent runs; the agent must not rely on earlier confirmations.
func TestEngineThatLostEverything(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	version := b.publish("weights of the first version")
	b.assign(1, 7, version)
	b.start()
	defer b.stop()
	b.eventually("the version is served", func() bool { return b.entry.serves(version) })
	b.engine.mu.Lock()
	b.engine.version, b.engine.chunks, b.engine.fence = "", map[string][]byte{}, 0
	b.engine.mu.Unlock()
	b.eventually("the loss is noticed", func() bool { return !b.entry.serves(version) })
	b.eventually("the version is served again", func() bool { return b.entry.serves(version) })
}

// Guards against a service host accepting calls without a check of the name. An
// attempt for a model is sent to a host that runs a service; it must be refused.
func TestServiceHost(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	b.assign(1, 7, b.publish("unused"))
	b.set.Service, b.set.OriginUrl = "labels", ""
	b.start()
	defer b.stop()
	b.eventually("the host reports its service", func() bool { return b.entry.last().GetService() == "labels" })
	if got, want := b.run("r1", "any", nil).last(), "refused:notLoaded"; got != want {
		t.Errorf("got last frame %s for a model at a service, want %s", got, want)
	}
}

func TestCommandLine(t *testing.T) {
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--version"}, 0, "comfreyagent test"},
		{[]string{"--help"}, 0, "--check-settings"},
		{[]string{"--nonsense"}, 2, "--help"},
		{[]string{"--settings", "testdata/no-such-file.json"}, 2, "no-such-file"},
	} {
		var out, errOut bytes.Buffer
		if got := Main("test", tc.args, &out, &errOut); got != tc.code {
			t.Errorf("%v: got exit code %d, want %d", tc.args, got, tc.code)
		}
		if text := out.String() + errOut.String(); !strings.Contains(text, tc.want) {
			t.Errorf("%v: got %q, want %q in it", tc.args, text, tc.want)
		}
	}
}

var _ wire.DRPCControlServer = (*fakeEntry)(nil)
