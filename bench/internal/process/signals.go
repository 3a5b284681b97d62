package process

import "syscall"

// Pause stops the process without ending it: its connections stay open and
// nothing answers on them, as with a stalled link or a long pause.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks for a graceful end and does not wait for it.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Kill ends the process at once and waits until it has ended.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}
