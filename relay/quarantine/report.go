package quarantine

import "encoding/hex"

// End names one incarnation of an endpoint that ended.
type End struct {
	Endpoint string `json:"endpoint"`
	Born     int64  `json:"born,omitempty"` // Unix milliseconds by its own host's clock; 0: unknown
}

// Report is what one entry saw and reports to the others: requests in progress at an endpoint when
// it ended, or requests that were served after such ends.
type Report struct {
	End End `json:"end,omitzero"`
	// Suspects were in progress there, begun shortly before or perhaps not yet.
	Suspects []Fingerprint `json:"suspects,omitempty"`
	// Running were in progress too and had been answered in part: the endpoint ran them and
	// went on, so that they are to blame less likely.
	Running []Fingerprint `json:"running,omitempty"`
	// Served is requests that an endpoint ran to a good end after such ends.
	Served []Fingerprint `json:"served,omitempty"`
}

// UnmarshalText reads a fingerprint from hexadecimal.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(p)) {
		return errFingerprintLength
	}
	_, err := hex.Decode(p[:], text)
	return err
}
