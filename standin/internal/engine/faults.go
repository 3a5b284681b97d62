package engine

// Faults are the knobs that a test turns; the zero value is a healthy engine.
type Faults struct {
	// SlowFactor makes everything so many times slower; 0 stands for 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailFast refuses every generation at once: certainly not run.
	FailFast bool `json:"failFast"`
	// ErrorAfterBegin breaks each generation right after it began.
	ErrorAfterBegin bool `json:"errorAfterBegin"`
	// Stall stops all progress of generations; connections stay open.
	Stall bool `json:"stall"`
	// RefuseLoad refuses orders to load.
	RefuseLoad bool `json:"refuseLoad"`
	// DropLoad says that a load was done and does nothing.
	DropLoad bool `json:"dropLoad"`
	// DieAfterTokens breaks each generation's connection after so many tokens;
	// 0 means never.
	DieAfterTokens int `json:"dieAfterTokens"`
	// ReportIdle hides the load from the status.
	ReportIdle bool `json:"reportIdle"`
	// Dead breaks all connections and forgets weights and chunks, as when the
	// host died; switched off, the host is back, empty.
	Dead bool `json:"dead"`
}

func (f Faults) slowdown() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}

// SetFaults replaces the fault knobs.
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

// Faults returns the fault knobs as they are.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
