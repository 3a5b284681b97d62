package weights

// Phases of a version on one host, with the names in wire.VersionState.
const (
	Absent   = "absent"
	Fetching = "fetching"
	Whole    = "whole"
	Failed   = "failed"
)

// State describes the progress of one version on this host.
type State struct {
	phase       string // Absent, Fetching, Whole or Failed
	have        int    // chunks verified and stored, at most total
	total       int    // 0 while the manifest is unknown
	drawn       int    // chunks that some host fetched from the origin, as far as known
	stallReason string // why there is no progress; empty otherwise
}

// Phase returns Absent, Fetching, Whole or Failed. Whole means that the
// manifest matched the version and every chunk was verified and stored.
func (s State) Phase() string { return s.phase }

// Have returns the number of stored chunks.
func (s State) Have() int { return s.have }

// Total returns the number of chunks of the version; 0 while its manifest is
// unknown.
func (s State) Total() int { return s.total }

// Drawn returns how many chunks were fetched from the origin by any host, as far as
// this host knows.
func (s State) Drawn() int { return s.drawn }

// StallReason returns the reason why the version makes no progress; empty if it does or
// if it is complete.
func (s State) StallReason() string { return s.stallReason }
