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
	// probeGap is the time between two probes, each at the next entry.
	probeGap  = 100 * time.Millisecond
	probeTime = time.Second
	// probePrefix begins the ids of probes, which are no callers' requests.
	probePrefix = "probe-"
	probeHost   = "p.example"
)

func probePath(route int) string { return fmt.Sprintf("/probe%d/", route) }

// change is one configuration that the operator wrote.
type change struct {
	from, at time.Time // sent and acknowledged; at is zero where no acknowledgement came
	probes   [probeRoutes]bool
}

// probe is a request sent straight to an entry on a route that comes and goes. What becomes of
// it shows which configurations may be in force there.
type probe struct {
	entry       *site.Member
	route       int
	sent, ended time.Time
	there       bool // the route was
}

// probe sends probes to all entries in turn until ctx ends.
func (r *run) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeTime}
	for number := 0; sleep(ctx, probeGap) == nil; number++ {
		entries := r.site.Members(site.Entry)
		one := probe{entry: entries[number%len(entries)], route: number / len(entries) % probeRoutes, sent: time.Now()}
		status, err := ask(client, one, number)
		one.ended = time.Now()
		switch {
		case err != nil || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			continue // it says nothing of the routes
		case status == http.StatusNotFound:
		default:
			one.there = true
		}
		r.probes = append(r.probes, one)
	}
}

func ask(client *http.Client, one probe, number int) (status int, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+one.entry.Callers()+probePath(one.route)+"x", nil)
	if err != nil {
		return 0, err
	}
	req.Host = probeHost
	req.Header.Set("X-Attempt-Id", fmt.Sprint(probePrefix, number))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(probeTime.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func isProbe(id string) bool { return strings.HasPrefix(id, probePrefix) }

// judgeConfigs checks that a configuration is in force in time at entries in touch, and that no
// process goes back to an older one.
func (r *run) judgeConfigs(changes []change) {
	type proof struct {
		newest int // index of the oldest configuration that all probes so far allow
		at     time.Time
	}
	known := map[*site.Member]proof{}
	for _, one := range r.probes {
		last := known[one.entry]
		if r.restarted(one.entry, last.at, one.ended) {
			last.newest = 0
		}
		shows := func(from int) int {
			at := slices.IndexFunc(changes[from:], func(c change) bool { return c.probes[one.route] == one.there && c.from.Before(one.ended) })
			if at < 0 {
				return at
			}
			return from + at
		}
		due := inForce(changes, one.sent.Add(-bounds.Apply))
		if shows(due) < 0 && !r.outOfTouch(one.entry, one.sent.Add(-bounds.Apply), one.sent) {
			r.violate("CONFIG", fmt.Sprintf("%s at %s handled route %d (there: %t) as only configurations before number %d of %d allow",
				one.entry.Name, one.sent.Format("15:04:05.000"), one.route, one.there, due, len(changes)))
		}
		at := shows(last.newest)
		if at < 0 {
			r.violate("CONFIG", fmt.Sprintf("%s at %s went back to a configuration before number %d", one.entry.Name, one.sent.Format("15:04:05.000"), last.newest))
			at = last.newest
		}
		known[one.entry] = proof{newest: at, at: one.sent}
	}
}

// inForce returns the index of the newest configuration that was acknowledged before a moment.
func inForce(changes []change, before time.Time) int {
	for i := len(changes) - 1; i > 0; i-- {
		if !changes[i].at.IsZero() && changes[i].at.Before(before) {
			return i
		}
	}
	return 0
}

// restarted reports whether an entry's process may be another one than at an earlier moment.
func (r *run) restarted(entry *site.Member, since, at time.Time) bool {
	killed := r.strikeWithin(since, at, func(one *strike) bool { return kills[one.kind] && one.hits(entry.ID) })
	return killed || r.stops.hit(entry, at)
}
