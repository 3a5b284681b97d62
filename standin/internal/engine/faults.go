package engine

// Faults configures fault injection; the zero value is a healthy engine.
type Faults struct {
	// SlowFactor multiplies all simulated durations; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailFast rejects every generation immediately, before it runs.
	FailFast bool `json:"failFast"`
	// ErrorAfterBegin aborts each generation right after its begin event.
	ErrorAfterBegin bool `json:"errorAfterBegin"`
	// Stall pauses all generations; their connections stay open.
	Stall bool `json:"stall"`
	// RefuseLoad rejects load orders.
	RefuseLoad bool `json:"refuseLoad"`
	// DropLoad reports load orders as done without loading anything.
	DropLoad bool `json:"dropLoad"`
	// DieAfterTokens breaks each generation's connection after this many tokens;
	// 0 means never.
	DieAfterTokens int `json:"dieAfterTokens"`
	// ReportIdle makes the status report no running or queued requests.
	ReportIdle bool `json:"reportIdle"`
	// Dead breaks all connections and discards weights and chunks, as a host
	// crash does. Once it is reset, the host is up again and holds nothing.
	Dead bool `json:"dead"`
}

func (f Faults) slowdown() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	e.faults = faults
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	if faults.Dead {
		e.unloadLocked()
		e.fence = 0
	}
	e.mu.Unlock()
	if faults.Dead {
		e.chunks.removeAll()
	}
}

// Faults returns the injected faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
