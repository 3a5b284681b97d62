// Package quarantine decides which requests are sent to no endpoint any more because the
// endpoints that run them end.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// fingerprintBytes is the length of a Fingerprint: at a thousand million requests two
// that differ have the same one with a chance under 1 in 10^20.
const fingerprintBytes = 16

// Fingerprint names what a caller asks for. A request that comes again has the same one,
// whichever entry it comes to and whatever id it bears. It can't be made to collide with
// another customer's by choosing a body.
type Fingerprint [fingerprintBytes]byte

// Of returns the fingerprint of a request: who asks (empty where nobody is named), the
// method, the host, the path with its query, and the body.
func Of(customer, method, host, target string, body []byte) Fingerprint {
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

// String returns the fingerprint in hexadecimal.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// MarshalText returns the fingerprint in hexadecimal.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
