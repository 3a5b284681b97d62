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
	// InForceSeconds are from the acceptance to the moment at which a node has
	// the revision in force, over all nodes and changes.
	InForceSecondsP50 float64 `json:"inForceSecondsP50"`
	InForceSecondsP99 float64 `json:"inForceSecondsP99"`
	InForceSecondsMax float64 `json:"inForceSecondsMax"`
	// Accept is the time of the submission's call.
	AcceptSecondsP50 float64 `json:"acceptSecondsP50"`
	AcceptSecondsMax float64 `json:"acceptSecondsMax"`
	// Calls of the key-value service while changes went on, by its own record;
	// a waiting watch counts as one. IdleKV are those without changes.
	KVReadsPerSecond      float64 `json:"kvReadsPerSecond"`
	KVWritesPerSecond     float64 `json:"kvWritesPerSecond"`
	KVPeakReadsPerSecond  int     `json:"kvPeakReadsPerSecond"`
	KVPeakWritesPerSecond int     `json:"kvPeakWritesPerSecond"`
	KVRefused             int     `json:"kvRefused"`
	IdleKVReadsPerSecond  float64 `json:"idleKvReadsPerSecond"`
	IdleKVWritesPerSecond float64 `json:"idleKvWritesPerSecond"`
	// Control is all that a node's connections to other processes carried while
	// no request and no chunk moved, in both directions, TLS included. IO is all
	// that the process read and wrote by the kernel's count: the agent's
	// questions to its engine and the bench's own are in it too.
	ControlBytesPerNodePerSecond  float64 `json:"controlBytesPerNodePerSecond"`
	ControlBytesPerEntryPerSecond float64 `json:"controlBytesPerEntryPerSecond"`
	ControlBytesPerAgentPerSecond float64 `json:"controlBytesPerAgentPerSecond"`
	IOBytesPerNodePerSecond       float64 `json:"ioBytesPerNodePerSecond"`
	IdleBytesPerNodePerSecond     float64 `json:"idleBytesPerNodePerSecond"`
	// Percent of one core.
	ControlCPUPercentPerNode  float64 `json:"controlCpuPercentPerNode"`
	ControlCPUPercentPerEntry float64 `json:"controlCpuPercentPerEntry"`
	ControlCPUPercentPerAgent float64 `json:"controlCpuPercentPerAgent"`
	// Resident is the largest of any process.
	ResidentMib      float64 `json:"residentMib"`
	ResidentMibAgent float64 `json:"residentMibAgent"`
	// Reverts counts nodes seen with an older revision than before; it must
	// be 0.
	Reverts int `json:"reverts"`
	// OutageRefused: a document submitted during the outage got a
	// clear error; RecoverySeconds is from the end of an outage or restart to
	// all nodes in force with the newest revision.
	OutageRefused   *bool   `json:"outageRefused,omitempty"`
	RecoverySeconds float64 `json:"recoverySeconds,omitempty"`
	// Error says why the case did not come to its end; the figures are void.
	Error string `json:"error,omitempty"`
}

// Named returns the line's fields that are known before the case runs.
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
