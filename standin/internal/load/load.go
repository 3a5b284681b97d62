// Package load is the load generator of tests, demo and benchmarks. It sends
// requests at random times regardless of the answers (open loop) and checks every
// answer itself.
package load

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/answer"
)

// progressInterval is the time between two progress log lines.
const progressInterval = time.Second

// Load is one run of the load generator.
type Load struct {
	options     Options
	clock       clockwork.Clock
	log         *slog.Logger
	sender      *sender
	directories [][]*directory // by customer and caller
	versions    *versions
	tally       *tally
	record      *recordWriter
	inFlight    chan struct{} // holds one element per request in flight
	started     time.Time
}

// New checks the options and returns a load that has not started. It writes one
// line per request to record, unless record is nil.
func New(options Options, clock clockwork.Clock, log *slog.Logger, record io.Writer) (*Load, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	kept := newClient(true)
	intended := newVersions(options.Versions, options.Adapters)
	created := &Load{
		options:  options,
		clock:    clock,
		log:      log,
		sender:   &sender{keepAlive: kept, noKeepAlive: newClient(false), clock: clock, versions: intended},
		versions: intended,
		tally:    newTally(options.Customers, options.Deadline),
		record:   newRecordWriter(record),
		inFlight: make(chan struct{}, options.MaxInFlight),
		started:  clock.Now(),
	}
	for _, customer := range options.Customers {
		created.directories = append(created.directories, newDirectories(options, customer, kept, clock))
	}
	return created, nil
}

func newDirectories(options Options, customer Customer, client *http.Client, clock clockwork.Clock) []*directory {
	created := make([]*directory, options.Callers)
	for i := range created {
		created[i] = &directory{entries: options.Entries, key: customer.Key, client: client, clock: clock}
	}
	return created
}

func (l *Load) direct() bool { return len(l.options.Direct) > 0 }

// Run sends the planned requests and returns when all of them have an outcome.
// After the context ends, it sends no new ones.
func (l *Load) Run(ctx context.Context) (Summary, error) {
	l.started = l.clock.Now()
	progress, stopProgress := context.WithCancel(context.Background())
	defer stopProgress()
	go l.logProgress(progress)

	var calls sync.WaitGroup
	requests := newPlan(l.options)
	for {
		planned, more := requests.next()
		if !more || !l.waitUntil(ctx, planned.arrival) {
			break
		}
		l.launch(&calls, planned)
	}
	calls.Wait()
	if err := l.record.failed(); err != nil {
		return l.Summary(), failure.Wrap(err, failure.Unavailable, "cannot write the caller's ledger", "free the disk or leave out --ledger-file")
	}
	return l.Summary(), nil
}

// waitUntil sleeps until the arrival time. It returns false if the run is stopped
// before.
func (l *Load) waitUntil(ctx context.Context, arrival time.Duration) bool {
	pause := arrival - l.clock.Since(l.started)
	if pause <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-l.clock.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// launch sends one request without waiting for its answer, so that slow answers
// don't reduce the arrival rate.
func (l *Load) launch(calls *sync.WaitGroup, planned request) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.tally.countOverrun()
		return
	}
	customer := l.options.Customers[planned.customer]
	current := &caller{
		load:      l,
		request:   planned,
		customer:  customer,
		directory: l.directories[planned.customer][planned.caller],
		arrived:   l.started.Add(planned.arrival),
	}
	calls.Go(func() {
		defer func() { <-l.inFlight }()
		// Requests in flight continue after the run is stopped, until their own
		// deadline.
		res := current.run(context.Background())
		l.tally.add(customer.Name, res, current.arrived)
		l.record.write(newEntry(l.options.Model, planned, customer, res, current.arrived.Add(res.took)))
	})
}

func newEntry(model string, planned request, customer Customer, res result, ended time.Time) Entry {
	return Entry{
		ID:         planned.number,
		RequestID:  res.requestID,
		Key:        res.key,
		Content:    contentOf(model, planned),
		Customer:   customer.Name,
		Service:    planned.service,
		Repeatable: planned.repeatable,
		Outcome:    res.outcome,
		Detail:     res.detail,
		Version:    res.version,
		Tokens:     res.tokens,
		Attempts:   res.attempts,
		Millis:     res.took.Milliseconds(),
		Address:    res.address,
		EndedAt:    ended.UnixMilli(),
	}
}

// contentOf returns the content ID that the endpoints' ledgers use for the request.
func contentOf(model string, planned request) string {
	if planned.service != "" {
		return answer.BodyContent([]byte(planned.prompt))
	}
	return answer.Content(model, planned.adapter.Name, planned.prompt)
}

// Summary returns the counts and latencies so far.
func (l *Load) Summary() Summary {
	return l.tally.summary(l.clock.Since(l.started).Seconds())
}

func (l *Load) logProgress(ctx context.Context) {
	ticker := l.clock.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			l.logCounts()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Load) logCounts() {
	counts := l.tally.counts()
	l.log.Info("progress",
		"seconds", int(l.clock.Since(l.started).Seconds()),
		"requests", counts.Requests,
		"answered", counts.Answered,
		"late", counts.Late,
		"notRun", counts.NotRun,
		"unknown", counts.Unknown,
		"wrongAnswer", counts.WrongAnswer,
		"wrongVersion", counts.WrongVersion,
		"cutOff", counts.CutOff,
		"inFlight", len(l.inFlight))
}
