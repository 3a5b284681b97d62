package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// shortDigits is how much of a hash people are shown.
const shortDigits = 12

// KeyHash returns the form in which the document holds a bearer key: its
// SHA-256, hexadecimal.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func shortHash(hash string) string {
	if len(hash) <= shortDigits {
		return hash
	}
	return hash[:shortDigits] + "..."
}
