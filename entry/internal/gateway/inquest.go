package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

const (
	// inquestWait is how long requests that broke at one endpoint are collected before it
	// is looked at: an end cuts all of them off within a few milliseconds.
	inquestWait = 30 * time.Millisecond
	// lookTimeout bounds the look at an endpoint beside the time of a connection.
	lookTimeout = time.Second
	// maxInquests bounds the endpoints that are looked at at once. Where all hosts of a
	// domain lose power an entry loses those it sends to, a few tens.
	maxInquests = 256
	// runningEvents is the events after which a request was run for some passes of its engine,
	// which went on: what ends an engine that begins to run it does so in the first ones.
	runningEvents = 3
	// maxSuspects bounds the requests that are remembered of one end, above the slots and
	// the queue of an endpoint.
	maxSuspects = 64
)

// suspect is a request in progress at an endpoint when its connection broke.
type suspect struct {
	print  quarantine.Fingerprint
	id     string
	ran    time.Duration // since it was sent there
	events int
}

// inquire starts to find out whether the endpoint ended under the request. A request that one
// more end would hold waits for the result, so that it ends no other endpoint meanwhile.
func (x *exchange) inquire(ctx context.Context, grant *fleet.Grant, outcome fleet.Outcome) {
	if outcome != fleet.Broken && outcome != fleet.Silent {
		return
	}
	g := x.gateway
	found := g.inquests.add(grant, suspect{print: x.print, id: x.req.ID, ran: g.cfg.Clock.Since(x.sentAt), events: x.events})
	if found == nil || !g.cfg.State.Ledger().Suspected(x.print) {
		return
	}
	select {
	case <-ctx.Done():
	case <-found:
	}
}

// inquests find out whether endpoints ended under the requests that broke there: a broken
// connection alone is the network's as often as the endpoint's. They are safe for
// concurrent use.
type inquests struct {
	pool    *upstream.Pool
	clock   clockwork.Clock
	log     *slog.Logger
	ends    *quarantine.Ledger
	publish func(site.Report)

	mu   sync.Mutex
	open map[fleet.Incarnation]*inquest
}

// inquest is on one endpoint; its inquests' lock guards it.
type inquest struct {
	grant    *fleet.Grant // of the first that broke
	suspects []suspect
	left     int // suspects beyond the bound
	done     chan struct{}
}

// add takes in a request that broke at an endpoint and returns a channel that is closed once
// it is known whether that ended; nil: nobody looks.
func (q *inquests) add(grant *fleet.Grant, one suspect) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	found := q.open[grant.Incarnation()]
	if found == nil {
		if len(q.open) >= maxInquests {
			q.log.Warn("an endpoint is not looked at, too many broke", "endpoint", grant.ID(), "request", one.id)
			return nil
		}
		found = &inquest{grant: grant, done: make(chan struct{})}
		q.open[grant.Incarnation()] = found
		go q.look(found)
	}
	if len(found.suspects) >= maxSuspects {
		found.left++
	} else {
		found.suspects = append(found.suspects, one)
	}
	return found.done
}

// look looks at the endpoint once those that broke with it are collected.
func (q *inquests) look(one *inquest) {
	defer close(one.done)
	<-q.clock.After(inquestWait)
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	listens, err := q.pool.Listens(ctx, upstream.Target{Address: one.grant.Address(), Born: one.grant.Incarnation().Born})
	// The port of one that fell silent refuses nobody, and a kept connection to it looks open;
	// its host's agent knows.
	ended := err == nil && !listens || one.grant.Over() || !one.grant.Alive()
	q.mu.Lock()
	delete(q.open, one.grant.Incarnation())
	q.mu.Unlock()
	// One that leaves ends by itself.
	left := one.grant.Leaving()
	q.log.Info("endpoint looked at", append(one.fields(ended, err), "left", left)...)
	if !ended || left {
		return
	}
	report := one.report()
	q.ends.Observe(report)
	q.publish(site.Report{Report: report})
}

// report is the report to other entries of an endpoint that ended.
func (i *inquest) report() quarantine.Report {
	in := i.grant.Incarnation()
	found := quarantine.Report{End: quarantine.End{Endpoint: in.ID, Born: in.Born}}
	for _, one := range i.suspects {
		if one.events >= runningEvents {
			found.Running = append(found.Running, one.print)
		} else {
			found.Suspects = append(found.Suspects, one.print)
		}
	}
	return found
}

func (i *inquest) fields(ended bool, err error) []any {
	ids, prints := make([]string, 0, len(i.suspects)), make([]string, 0, len(i.suspects))
	ran, events := make([]int64, 0, len(i.suspects)), make([]int, 0, len(i.suspects))
	for _, one := range i.suspects {
		ids, prints = append(ids, one.id), append(prints, one.print.String())
		ran, events = append(ran, one.ran.Milliseconds()), append(events, one.events)
	}
	return []any{
		"endpoint", i.grant.ID(), "born", i.grant.Incarnation().Born, "address", i.grant.Address(), "ended", ended, "error", err,
		"requests", ids, "prints", prints, "ranMillis", ran, "events", events, "leftOut", i.left,
	}
}
