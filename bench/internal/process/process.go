// Package process starts, signals and stops the programs of a deployment, each by
// its own process id.
package process

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readyPrefix begins the line that a server prints for each address that it
	// listens on.
	readyPrefix = "listening address="
	// maxAddresses bounds the addresses kept for one process.
	maxAddresses = 4096
)

// Spec describes the program to start.
type Spec struct {
	// Name identifies the process in messages and is unique within a deployment.
	Name string
	// Program is the path of the binary.
	Program string
	Args    []string
	// Log receives the process's standard error; nil discards it.
	Log io.Writer
	// Listening is how many addresses the process announces; Start waits for
	// all of them. 0 does not wait.
	Listening int
	// Timeout bounds the wait for these addresses.
	Timeout time.Duration
	// Stdout receives the lines of standard output that announce no address;
	// nil discards them.
	Stdout io.Writer
}

// Process is one started program.
type Process struct {
	spec    Spec
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended

	mu        sync.Mutex
	addresses []string // in the order announced
	announced chan struct{}
	err       error // set before done closes
}

// startThread returns a queue of functions that run on one locked OS thread, which
// never exits. Linux sends Pdeathsig when the thread that forked exits, not the
// process: starts from short-lived threads made healthy programs die at random, so
// all starts share this thread.
var startThread = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for run := range work {
			run()
		}
	}()
	return work
})

// errExitZero is the cause reported for a server that exited with status 0 before
// it listened.
var errExitZero = errors.New("exit status 0")

// Start runs the program and waits until it listens on all announced addresses.
// The kernel kills the process when the calling process exits, also after a crash.
func Start(ctx context.Context, spec Spec) (*Process, error) {
	p := &Process{spec: spec, done: make(chan struct{}), announced: make(chan struct{})}
	p.command = exec.Command(spec.Program, spec.Args...)
	p.command.Stderr = spec.Log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	startThread() <- func() { started <- p.command.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", spec.Name, err)
	}
	go p.readOutput(out)
	if err := p.waitListening(ctx); err != nil {
		_ = p.Stop(0)
		return nil, err
	}
	return p, nil
}

// readOutput reads standard output to its end and then waits for the exit status.
// Wait closes the pipe, so the other order would lose the last lines.
func (p *Process) readOutput(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		p.handleLine(lines.Text())
	}
	_, _ = io.Copy(io.Discard, out)
	err := p.command.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// handleLine records an announced address, or passes any other line to Stdout.
func (p *Process) handleLine(line string) {
	rest, found := strings.CutPrefix(line, readyPrefix)
	if !found {
		if p.spec.Stdout != nil {
			fmt.Fprintln(p.spec.Stdout, line)
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addresses) >= maxAddresses {
		return
	}
	address, _, _ := strings.Cut(rest, " ")
	p.addresses = append(p.addresses, address)
	if len(p.addresses) == p.spec.Listening {
		close(p.announced)
	}
}

// waitListening blocks until the process has announced all its addresses.
func (p *Process) waitListening(ctx context.Context) error {
	if p.spec.Listening == 0 {
		return nil
	}
	timer := time.NewTimer(p.spec.Timeout)
	defer timer.Stop()
	select {
	case <-p.announced:
		return nil
	case <-p.done:
		return fmt.Errorf("%s exited before it was listening; see its log: %w", p.spec.Name, cmp.Or(p.Err(), errExitZero))
	case <-timer.C:
		return fmt.Errorf("%s does not listen after %v; see its log", p.spec.Name, p.spec.Timeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Name returns the process's name.
func (p *Process) Name() string { return p.spec.Name }

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Addresses returns the addresses that the process announced.
func (p *Process) Addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.addresses...)
}

// Done closes when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Err returns how the process ended; nil while it runs or after a clean end.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Signal sends a signal. It returns os.ErrProcessDone once the process has ended,
// because its id may by then belong to another process.
func (p *Process) Signal(sig os.Signal) error {
	if p.Ended() {
		return os.ErrProcessDone
	}
	return p.command.Process.Signal(sig)
}

// Wait blocks until the process has ended and returns how it ended.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop sends SIGTERM, and SIGKILL when the process still runs after the grace
// period, and waits until it has ended.
func (p *Process) Stop(grace time.Duration) error {
	if p.Ended() {
		return nil
	}
	// A paused process handles SIGTERM only after it is continued.
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.done:
		return nil
	case <-timer.C:
	}
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
	return nil
}
