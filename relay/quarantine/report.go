package quarantine

import "encoding/hex"

// End identifies the incarnation of an endpoint that ended.
type End struct {
	Endpoint string `json:"endpoint"`
	Born     int64  `json:"born,omitempty"` // start time in Unix milliseconds by its host's clock; 0: unknown
}

// Report is sent by one entry to all others. It lists the requests that were in progress at an
// endpoint when it ended, or requests that were served after such ends.
type Report struct {
	End End `json:"end,omitzero"`
	// Suspects were started shortly before the end, or perhaps not started yet.
	Suspects []Fingerprint `json:"suspects,omitempty"`
	// Running had been partly answered: the endpoint kept running while it processed them, so
	// they are less likely to be the cause.
	Running []Fingerprint `json:"running,omitempty"`
	// Served were answered successfully by an endpoint after they had been in progress at ends.
	Served []Fingerprint `json:"served,omitempty"`
	// Parts are the shared parts in the prompts of requests that the endpoint had not yet kept
	// running with.
	Parts []Fingerprint `json:"parts,omitempty"`
	// ProvenParts are parts with which an endpoint kept running at some time.
	ProvenParts []Fingerprint `json:"provenParts,omitempty"`
	// SurvivedParts are parts with which an endpoint kept running after they had been in progress at
	// ends.
	SurvivedParts []Fingerprint `json:"survivedParts,omitempty"`
}

// UnmarshalText parses a fingerprint in hexadecimal.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(p)) {
		return errFingerprintLength
	}
	_, err := hex.Decode(p[:], text)
	return err
}
