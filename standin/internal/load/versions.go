package load

import (
	"sync"
	"time"
)

// versions holds the versions that answers may come from. A removed version stays
// valid for requests that were sent before its removal.
type versions struct {
	mu sync.Mutex
	// intended maps a version to the time of its removal, zero if it was not removed.
	// If the map is empty, any version is valid.
	intended map[string]time.Time
	adapters map[string][]string // versions by adapter name
}

func newVersions(intended []string, adapters []Target) *versions {
	v := &versions{intended: map[string]time.Time{}, adapters: map[string][]string{}}
	for _, version := range intended {
		v.intended[version] = time.Time{}
	}
	for _, adapter := range adapters {
		v.addAdapter(adapter.Name, adapter.Version)
	}
	return v
}

func (v *versions) add(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.intended[version] = time.Time{}
}

func (v *versions) remove(version string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if removedAt, known := v.intended[version]; known && removedAt.IsZero() {
		v.intended[version] = now
	}
}

func (v *versions) addAdapter(name, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.adapters[name] = append(v.adapters[name], version)
}

// allowed reports whether the version may answer a request sent at askedAt.
func (v *versions) allowed(version string, askedAt time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.intended) == 0 {
		return true
	}
	removedAt, known := v.intended[version]
	return known && (removedAt.IsZero() || askedAt.Before(removedAt))
}

func (v *versions) ofAdapter(name string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.adapters[name]...)
}
