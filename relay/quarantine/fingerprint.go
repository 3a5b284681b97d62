// Package quarantine detects requests that make the endpoints running them terminate, and
// tells which requests to hold.
//
// An end is the termination of one incarnation of an endpoint, for whatever reason. Each entry
// reports the requests that were in progress at an ended endpoint to all other entries, and the
// parts of their prompts that other requests may have too. A request that was in progress at enough
// ends, unless something else explains them, is held: it is refused and not sent to any further
// endpoint. So is each request with a part that is held.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// fingerprintBytes is the length of a Fingerprint. Among 10^9 different requests, the
// probability that any two have the same fingerprint is below 1 in 10^20.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request, or a part of the prompts of several. A repeated request has the same
// fingerprint at every entry and with any request ID. A customer cannot choose a body that
// makes it collide with another customer's request.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns the fingerprint of a request. The customer is empty if the request names none;
// target is the path with its query.
func NewFingerprint(customer, method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range []string{customer, method, host, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// NewPartFingerprint returns the fingerprint of a part of a prompt. It is the same in each request
// that has the part.
func NewPartFingerprint(id string) Fingerprint {
	sum := sha256.Sum256([]byte("prompt part " + id))
	return Fingerprint(sum[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// MarshalText returns the fingerprint in hexadecimal.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
