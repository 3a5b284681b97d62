package deployment

import (
	"context"
	"time"

	"comfreyrelay.example/bench/internal/process"
)

// Kinds of member.
const (
	kindEntry = "entry"
	kindAgent = "agent"
)

// stopGrace is how long Deployment.Stop waits for a process to exit before it kills
// it.
const stopGrace = 3 * time.Second

// Member is one process of the system in the deployment: an entry or an agent.
type Member struct {
	id, kind                    string
	place                       Place
	control, operators, callers string // addresses; callers is empty for agents
	endpoint, service           string // agents: class and, for services, the name
	endpointURL                 string
	endpointAddress             string // set if the member has its own engine process
	settings                    string // file name
	process                     *process.Process
	engine                      *process.Process // nil where engines share one process
}

// ID returns the node id.
func (m *Member) ID() string { return m.id }

// Place returns the member's region and failure domain.
func (m *Member) Place() Place { return m.place }

// CallersAddress returns an entry's address for callers and operators.
func (m *Member) CallersAddress() string { return m.callers }

// OperatorsAddress returns the address of /debug/vars and /readyz.
func (m *Member) OperatorsAddress() string { return m.operators }

// EndpointURL returns the base address of an agent's engine or service.
func (m *Member) EndpointURL() string { return m.endpointURL }

// Process returns the current process, or the last one after it ended.
func (m *Member) Process() *process.Process { return m.process }

// IsService reports whether the member is the agent of a plain service.
func (m *Member) IsService() bool { return m.service != "" }

// Pause suspends the member's process without ending it.
func (m *Member) Pause() error { return m.process.Pause() }

// Resume continues a paused member.
func (m *Member) Resume() error { return m.process.Resume() }

// Terminate requests a graceful shutdown of the member and waits until it has ended.
func (m *Member) Terminate(ctx context.Context) error {
	if err := m.process.Terminate(); err != nil {
		return err
	}
	return m.process.Wait(ctx)
}
