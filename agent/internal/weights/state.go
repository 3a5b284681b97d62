package weights

// Phases of a version on one host, as wire.VersionState names them.
const (
	Absent   = "absent"
	Fetching = "fetching"
	Whole    = "whole"
	Failed   = "failed"
)

// State is how far the host is with one version.
type State struct {
	phase       string // Absent, Fetching, Whole or Failed
	have        int    // chunks verified and kept, at most total
	total       int    // 0 while the manifest is unknown
	drawn       int    // chunks that left the origin, as far as known
	stallReason string // why it stands still; empty otherwise
}

// Phase returns Absent, Fetching, Whole or Failed. Whole means that the
// manifest matched the version and every chunk was verified and kept.
func (s State) Phase() string { return s.phase }

// Have returns the chunks kept.
func (s State) Have() int { return s.have }

// Total returns the chunks of the version; 0 while its manifest is unknown.
func (s State) Total() int { return s.total }

// Drawn returns the chunks that left the origin, as far as this host knows.
func (s State) Drawn() int { return s.drawn }

// HoldUp returns why the version stands still; empty otherwise.
func (s State) HoldUp() string { return s.stallReason }
