package process

import (
	"bytes"
	"context"
	"os/exec"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

func shell(t *testing.T, script string, listening int, out *bytes.Buffer) *Process {
	t.Helper()
	path, err := exec.LookPath("sh")
	if err != nil {
		t.Skip("there is no sh on this machine")
	}
	spec := Spec{Name: "test", Program: path, Args: []string{"-c", script}, Listening: listening, Timeout: testTimeout}
	if out != nil {
		spec.Stdout = out
	}
	p, err := Start(context.Background(), spec)
	if err != nil {
		t.Fatalf("Start: got %v, want no error", err)
	}
	t.Cleanup(func() { _ = p.Stop(0) })
	return p
}

func TestStartReadsAddresses(t *testing.T) {
	var out bytes.Buffer
	p := shell(t, "echo listening address=127.0.0.1:1 name=a; echo listening address=127.0.0.1:2; echo hello", 2, &out)
	if err := p.Wait(context.Background()); err != nil {
		t.Fatalf("Wait: got %v, want no error", err)
	}
	got := p.Addresses()
	if len(got) != 2 || got[0] != "127.0.0.1:1" || got[1] != "127.0.0.1:2" {
		t.Errorf("Addresses: got %v, want 127.0.0.1:1 and 127.0.0.1:2", got)
	}
	if got, want := out.String(), "hello\n"; got != want {
		t.Errorf("Stdout: got %q, want %q", got, want)
	}
}

// TestStartFailsWhenProgramEnds guards against a deployment that hangs at its
// start: a program that rejects its settings exits without listening, and Start
// waited only for an address, not for the exit.
func TestStartFailsWhenProgramEnds(t *testing.T) {
	_, err := Start(context.Background(), Spec{Name: "test", Program: "/bin/false", Listening: 1, Timeout: testTimeout})
	if err == nil {
		t.Error("Start: got no error, want one")
	}
}

// TestStopEndsPausedProcess guards against a paused process that outlives the run:
// it does not handle SIGTERM until it is continued.
func TestStopEndsPausedProcess(t *testing.T) {
	p := shell(t, "echo listening address=127.0.0.1:1; exec sleep 60", 1, nil)
	if err := p.Pause(); err != nil {
		t.Fatalf("Pause: got %v, want no error", err)
	}
	if err := p.Stop(testTimeout); err != nil {
		t.Errorf("Stop: got %v, want no error", err)
	}
	if !p.Ended() {
		t.Error("Ended: got false, want true")
	}
}

func TestUsage(t *testing.T) {
	p := shell(t, "echo listening address=127.0.0.1:1; exec sleep 60", 1, nil)
	use, err := p.Usage()
	if err != nil {
		t.Fatalf("Usage: got %v, want no error", err)
	}
	if use.ResidentBytes == 0 || use.PeakBytes < use.ResidentBytes {
		t.Errorf("Usage: got %+v, want memory and a peak not below it", use)
	}
}
