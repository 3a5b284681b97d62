package control

// Result is the JSON line of one case.
type Result struct {
	Bench            string  `json:"bench"`
	Case             string  `json:"case"`
	Entries          int     `json:"entries"`
	Agents           int     `json:"agents"`
	Customers        int     `json:"customers"`
	ChangesPerSecond float64 `json:"changesPerSecond"`
	Changes          int     `json:"changes"`
	// InForceSeconds is the time from the acceptance of a revision until a node has
	// it in force, over all nodes and changes.
	InForceSecondsP50 float64 `json:"inForceSecondsP50"`
	InForceSecondsP99 float64 `json:"inForceSecondsP99"`
	InForceSecondsMax float64 `json:"inForceSecondsMax"`
	// AcceptSeconds is the duration of the call that submits a document.
	AcceptSecondsP50 float64 `json:"acceptSecondsP50"`
	AcceptSecondsMax float64 `json:"acceptSecondsMax"`
	// KV counts calls of the key-value service while documents changed, from its own
	// ledger; a pending watch counts as one call. IdleKV is without changes.
	KVReadsPerSecond      float64 `json:"kvReadsPerSecond"`
	KVWritesPerSecond     float64 `json:"kvWritesPerSecond"`
	KVPeakReadsPerSecond  int     `json:"kvPeakReadsPerSecond"`
	KVPeakWritesPerSecond int     `json:"kvPeakWritesPerSecond"`
	KVRefused             int     `json:"kvRefused"`
	IdleKVReadsPerSecond  float64 `json:"idleKvReadsPerSecond"`
	IdleKVWritesPerSecond float64 `json:"idleKvWritesPerSecond"`
	// ControlBytes is the traffic on a node's connections to other processes, in
	// both directions and with TLS overhead, while no requests or chunks were
	// transferred. IOBytes is what the process read and wrote by the kernel's count,
	// which includes the agent's polls of its engine and those of the bench.
	ControlBytesPerNodePerSecond  float64 `json:"controlBytesPerNodePerSecond"`
	ControlBytesPerEntryPerSecond float64 `json:"controlBytesPerEntryPerSecond"`
	ControlBytesPerAgentPerSecond float64 `json:"controlBytesPerAgentPerSecond"`
	IOBytesPerNodePerSecond       float64 `json:"ioBytesPerNodePerSecond"`
	IdleBytesPerNodePerSecond     float64 `json:"idleBytesPerNodePerSecond"`
	// ControlCPUPercent is in percent of one core.
	ControlCPUPercentPerNode  float64 `json:"controlCpuPercentPerNode"`
	ControlCPUPercentPerEntry float64 `json:"controlCpuPercentPerEntry"`
	ControlCPUPercentPerAgent float64 `json:"controlCpuPercentPerAgent"`
	// ResidentMib is the largest resident memory of any process.
	ResidentMib      float64 `json:"residentMib"`
	ResidentMibAgent float64 `json:"residentMibAgent"`
	// Reverts counts how often a node reported an older revision than before; it
	// must be 0.
	Reverts int `json:"reverts"`
	// OutageRefused reports whether a document submitted during the outage was
	// rejected with an error. RecoverySeconds is the time from the end of an outage
	// or restart until all nodes have the newest revision in force.
	OutageRefused   *bool   `json:"outageRefused,omitempty"`
	RecoverySeconds float64 `json:"recoverySeconds,omitempty"`
	// Error says why the case was aborted; the figures are then invalid.
	Error string `json:"error,omitempty"`
}

// Named returns a Result with the fields that are known before the case runs.
func Named(c Case) Result {
	return Result{
		Bench:            "control",
		Case:             c.Name,
		Entries:          entryCount,
		Agents:           c.Agents,
		Customers:        c.Customers,
		ChangesPerSecond: c.ChangesPerSecond,
	}
}
