package process

import "syscall"

// Pause suspends the process with SIGSTOP: its connections stay open but nothing
// answers on them, as with a stalled link or a long pause of a host.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown and does not wait for it.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Kill ends the process at once and waits until it has ended.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}
