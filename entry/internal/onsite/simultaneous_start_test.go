package onsite

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

const (
	// linkMegabits is the capacity in Mbit/s of the link to the store, which all entries of the
	// region share.
	linkMegabits = 26
	// encodingFactor is the factor by which the store's encoding enlarges a value.
	encodingFactor = 4.0 / 3
	// readerFraction is the fraction of entries that may read a configuration over the link. Two
	// do, plus a few more on a machine that is so slow that entries time out their sources.
	readerFraction = 1.0 / 3
	// registrationBytes is the allowance for reading one registration, which one entry does more
	// than once.
	registrationBytes = 1 << 10
)

// startGroup is a region whose entries start together, as after a power failure: their
// registrations are still in the store, which is behind a narrow link.
type startGroup struct {
	fleet   *testFleet
	link    *platformtest.NarrowLink
	config  map[string]any
	sources []*runningEntry
}

func newStartGroup(t *testing.T, entries, valueBytes int) *startGroup {
	t.Helper()
	store := platformtest.NewStore()
	store.EnableLeaseExpiry()
	server := httptest.NewUnstartedServer(store)
	r := &startGroup{link: platformtest.NewNarrowLink(server.Listener, linkMegabits*1e6/8), config: incompressibleConfig(valueBytes)}
	server.Listener = r.link
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	r.fleet = &testFleet{t: t, store: store, url: server.URL}
	r.putConfig(1)
	registrations := map[string]site.Entry{}
	var cfgs []*wire.EntrySettings
	for i := range entries {
		cfg := r.fleet.settings(i)
		id := cfg.GetNode().GetId()
		registrations[id] = site.Entry{CallersAddress: cfg.GetCallersAddress(), Region: "r", FailureDomain: "d1", ControlAddress: cfg.GetNode().GetControlAddress()}
		store.Put(platform.EntryKey(id), registrations[id])
		cfgs = append(cfgs, cfg)
	}
	for _, cfg := range cfgs {
		started := r.fleet.startAsync(cfg)
		if len(site.Sources(cfg.GetNode().GetId(), "r", registrations)) == 0 {
			r.sources = append(r.sources, started)
		}
	}
	return r
}

// incompressibleConfig returns a configuration of about the given size that compresses badly.
func incompressibleConfig(valueBytes int) map[string]any {
	random := rand.New(rand.NewPCG(1, 2))
	var routes []map[string]any
	for size := 0; size < valueBytes; size += 180 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%x", random.Uint64()), "host": fmt.Sprintf("h%x.example", random.Uint64()), "path_prefix": fmt.Sprintf("/%x/", random.Uint64()),
			"kind": "idempotent", "timeout_ms": 5000, "service": "app", "max_attempts": 2,
		})
	}
	return map[string]any{"routes": routes, "services": []map[string]any{{"name": "app"}}}
}

func (r *startGroup) putConfig(version int) {
	r.config["version"] = version
	r.fleet.store.Put(platform.ConfigKey, r.config)
}

// checkLinkUsage waits until all entries are ready and checks that no more bytes crossed the link
// than readerFraction of the entries need to read the given number of configurations.
func (r *startGroup) checkLinkUsage(t *testing.T, valueBytes, configurations int) {
	t.Helper()
	startedAt := time.Now()
	entries := len(r.fleet.entries)
	for _, entry := range r.fleet.entries {
		select {
		case <-entry.done:
		default:
			r.fleet.awaitReady(entry)
		}
	}
	copies := readerFraction * float64(entries*configurations)
	got, limit := r.link.Sent(), int64(copies*encodingFactor*float64(valueBytes))+int64(entries*entries*registrationBytes)
	t.Logf("%d entries, %d KB: all ready after %v, %d KB over the link", entries, valueBytes>>10, time.Since(startedAt).Round(time.Millisecond), got>>10)
	if got > limit {
		t.Errorf("got %d KB over the link, want %d KB at most", got>>10, limit>>10)
	}
}

// Guards against entries that start together and each read a large configuration over their
// shared link, so that none has it for seconds.
func TestEntriesThatStartTogetherReadALargeConfigurationFewTimes(t *testing.T) {
	for _, size := range []struct{ entries, kilobytes int }{{12, 396}, {33, 396}, {12, 980}} {
		t.Run(fmt.Sprintf("%d entries, %d KB", size.entries, size.kilobytes), func(t *testing.T) {
			r := newStartGroup(t, size.entries, size.kilobytes<<10)
			r.checkLinkUsage(t, size.kilobytes<<10, 1)
		})
	}
}

// Guards against all entries reading the store because one of the two entries that read it for
// them stopped during the transfer.
func TestEntriesThatStartTogetherSurviveLossOfSource(t *testing.T) {
	r := newStartGroup(t, 12, 396<<10)
	r.sources[0].stop()
	r.checkLinkUsage(t, 396<<10, 1)
}

// Guards against readings that all restart at once when the store is available again or the
// configuration changes during the start.
func TestEntriesThatStartTogetherDuringStoreOutage(t *testing.T) {
	r := newStartGroup(t, 12, 396<<10)
	r.fleet.store.SetFault(func(*http.Request) platformtest.Fault { return platformtest.Busy })
	time.Sleep(300 * time.Millisecond)
	r.fleet.store.SetFault(nil)
	r.checkLinkUsage(t, 396<<10, 2)
}

func TestEntriesThatStartTogetherDuringConfigurationChange(t *testing.T) {
	r := newStartGroup(t, 12, 396<<10)
	const changes = 2
	for version := range changes {
		time.Sleep(300 * time.Millisecond)
		r.putConfig(2 + version)
	}
	r.checkLinkUsage(t, 396<<10, 2*(1+changes))
}
