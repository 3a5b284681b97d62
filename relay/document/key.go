package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// shortHashDigits is the number of hash digits shown in messages and diffs.
const shortHashDigits = 12

// KeyHash returns the SHA-256 hash of a bearer key in hexadecimal, which the
// document stores instead of the key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func shortHash(hash string) string {
	if len(hash) <= shortHashDigits {
		return hash
	}
	return hash[:shortHashDigits] + "..."
}
