package sitesoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"comfreyrelay.example/bench/internal/site"
)

const (
	// probeRoutes is how many routes the operator adds and removes for probes.
	probeRoutes = 3
	// probeInterval is the time between two probes, which go to the entries in turn.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
	// probePrefix starts the ids of probes and tells them from callers' requests.
	probePrefix = "probe-"
	probeHost   = "p.example"
)

func probePath(route int) string { return fmt.Sprintf("/probe%d/", route) }

// configChange is a configuration that the operator wrote.
type configChange struct {
	sentAt, ackedAt time.Time // ackedAt is zero if the write was not acknowledged
	probes          [probeRoutes]bool
}

// probe is a request sent directly to an entry on a route that the operator adds and removes.
// Its outcome shows which configurations may be in force at that entry.
type probe struct {
	entry       *site.Member
	route       int
	sent, ended time.Time
	routeExists bool // the entry knew the route
}

// sendProbes sends probes to all entries in turn until ctx is done.
func (r *run) sendProbes(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout}
	for number := 0; sleep(ctx, probeInterval) == nil; number++ {
		entries := r.site.Members(site.Entry)
		p := probe{entry: entries[number%len(entries)], route: number / len(entries) % probeRoutes, sent: time.Now()}
		status, err := sendProbe(client, p, number)
		p.ended = time.Now()
		switch {
		case err != nil || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			continue // the status does not depend on the routes
		case status == http.StatusNotFound:
		default:
			p.routeExists = true
		}
		r.probes = append(r.probes, p)
	}
}

func sendProbe(client *http.Client, p probe, number int) (status int, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.entry.Callers()+probePath(p.route)+"x", nil)
	if err != nil {
		return 0, err
	}
	req.Host = probeHost
	req.Header.Set("X-Attempt-Id", fmt.Sprint(probePrefix, number))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(probeTimeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func isProbe(id string) bool { return strings.HasPrefix(id, probePrefix) }

// checkConfigs checks that each entry applies a configuration in time, unless timing is exempt,
// and that no process goes back to an older configuration.
func (r *run) checkConfigs(changes []configChange) {
	type observation struct {
		newest int // index of the oldest configuration that is consistent with all probes so far
		at     time.Time
	}
	observations := map[*site.Member]observation{}
	for _, p := range r.probes {
		last := observations[p.entry]
		if r.mayHaveRestarted(p.entry, last.at, p.ended) {
			last.newest = 0
		}
		firstMatch := func(from int) int {
			at := slices.IndexFunc(changes[from:], func(c configChange) bool { return c.probes[p.route] == p.routeExists && c.sentAt.Before(p.ended) })
			if at < 0 {
				return at
			}
			return from + at
		}
		required := newestAcknowledged(changes, p.sent.Add(-bounds.Apply))
		if firstMatch(required) < 0 && !r.timingExempt(p.entry, p.sent.Add(-bounds.Apply), p.sent) {
			r.recordViolation("CONFIG", fmt.Sprintf("%s at %s handled route %d (exists: %t) according to a configuration older than number %d of %d",
				p.entry.Name, p.sent.Format("15:04:05.000"), p.route, p.routeExists, required, len(changes)))
		}
		at := firstMatch(last.newest)
		if at < 0 {
			r.recordViolation("CONFIG", fmt.Sprintf("%s at %s reverted to a configuration older than number %d", p.entry.Name, p.sent.Format("15:04:05.000"), last.newest))
			at = last.newest
		}
		observations[p.entry] = observation{newest: at, at: p.sent}
	}
}

// newestAcknowledged returns the index of the newest configuration acknowledged before a time.
func newestAcknowledged(changes []configChange, before time.Time) int {
	for i := len(changes) - 1; i > 0; i-- {
		if !changes[i].ackedAt.IsZero() && changes[i].ackedAt.Before(before) {
			return i
		}
	}
	return 0
}

// mayHaveRestarted reports whether an entry's process may have been replaced since a time.
func (r *run) mayHaveRestarted(entry *site.Member, since, at time.Time) bool {
	killed := r.faultWithin(since, at, func(fault *faultRecord) bool { return killKinds[fault.kind] && fault.affects(entry.ID) })
	return killed || r.stops.stoppedNear(entry, at)
}
