// Package once ensures that a request with an idempotency key runs at most once.
//
// An entry claims the key before it runs the request. Claims for a key are
// decided by one process only, its owner: the entry whose incarnation the key
// names. The owner remembers every key that it granted for as long as it would
// still accept the key, so a key that it does not remember was never granted.
package once

import (
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/relay/failure"
)

// uuidLen is the length of a UUID's canonical text.
const uuidLen = 36

// Key identifies one request that may run at most once.
type Key struct {
	owner string    // incarnation of the entry that decides claims; empty: the platform's service does
	id    uuid.UUID // UUIDv7, created by the caller
}

// NewKey returns a Key. An empty owner means the platform's service.
func NewKey(owner string, id uuid.UUID) Key { return Key{owner: owner, id: id} }

// Parse parses "<owner>.<UUIDv7>" or "<UUIDv7>". Only the canonical form is
// accepted: a store that compares bytes would treat two spellings of one key as
// two keys. Errors have kind Invalid.
func Parse(text string) (Key, error) {
	var key Key
	switch len(text) {
	case uuidLen:
	case 2*uuidLen + 1:
		key.owner = text[:uuidLen]
		if text[uuidLen] != '.' || !isCanonical(key.owner) {
			return Key{}, invalidKey()
		}
		text = text[uuidLen+1:]
	default:
		return Key{}, invalidKey()
	}
	if !isCanonical(text) {
		return Key{}, invalidKey()
	}
	key.id = uuid.MustParse(text)
	if key.id.Version() != 7 || key.id.Variant() != uuid.RFC4122 {
		return Key{}, invalidKey()
	}
	return key, nil
}

func isCanonical(text string) bool {
	id, err := uuid.Parse(text)
	return err == nil && id.String() == text
}

func invalidKey() error {
	return failure.New(failure.Invalid, "the once key is malformed",
		"send <owner>.<UUIDv7> with the owner from GET /v1/entries, both in lower case")
}

// Owner returns the incarnation of the entry that decides claims for the key; it
// is empty if the platform's service does.
func (k Key) Owner() string { return k.owner }

// ID returns the caller's part of the key.
func (k Key) ID() uuid.UUID { return k.id }

// Created returns when the caller created the key, by the caller's clock.
func (k Key) Created() time.Time {
	seconds, nanos := k.id.Time().UnixTime()
	return time.Unix(seconds, nanos)
}

// String returns the key's canonical form.
func (k Key) String() string {
	if k.owner == "" {
		return k.id.String()
	}
	return k.owner + "." + k.id.String()
}
