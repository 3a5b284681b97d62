package quarantine

import (
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
)

const (
	// endsAllowed is the ends of endpoints after which a request is held that was begun
	// shortly before each. After one end any of those in progress there may have caused it,
	// and after two some still have run beside the cause twice: those that broke with it are
	// sent elsewhere at the same moment. Each more costs callers an endpoint for seconds.
	endsAllowed = 3
	// suspectWeight and runningWeight are what an end weighs under a request that was begun
	// shortly before, and under one that had been answered in part; one is held from
	// heldWeight on. In 20 simulated minutes of nine entries, with some 30 ends each, 36 of 96,000
	// other requests were held with both alike and 8 so.
	suspectWeight = 2
	runningWeight = 1
	heldWeight    = endsAllowed * suspectWeight
	// suspectedWeight is what is one end short of that.
	suspectedWeight = heldWeight - suspectWeight
	// goodTime is for how long after a good answer ends do not count against a request: one
	// that comes often is in progress wherever anything ends, and is served in between at
	// each entry. It is many times what reports of earlier ends take, and what it costs one
	// that was good and then ends what runs it is that time.
	goodTime = 10 * time.Second
	// HoldTime is how long an end is remembered, and so for how long a request is held after
	// the last one that is known: long against the seconds in which callers come again, and
	// the longest time for which the platform's store keeps a key for an entry that is gone.
	HoldTime = 10 * time.Minute
	// maxPairs bounds what is remembered, in requests at ends: a region of 900 engines with a
	// dozen requests each that ends at once, twice. A pair takes 312 bytes, all 10.2 MB.
	maxPairs = 1 << 15
)

var errLength = failure.New(failure.Invalid, "the fingerprint has the wrong length", "write 32 hexadecimal digits")

// Ledger knows under which requests endpoints ended, by what this entry saw and others told.
// It counts distinct ends, so that what is told twice, late or in any order counts once, and
// nobody has to agree with anybody. It is safe for concurrent use.
type Ledger struct {
	clock func() time.Time

	mu    sync.RWMutex
	known map[Fingerprint]*record
	at    map[End][]Fingerprint // the requests of ends by the end
	order []told                // pairs, those told longest ago first; renewed ones stand twice
	pairs int
	// maybeHeld is called after a report by which one more request may be held.
	maybeHeld func()
}

// record is what is known of one request under which an endpoint ended.
type record struct {
	ends []pair
	good time.Time // when a good answer was last heard of; zero: none was
	// told is when one was last told of to all, which entries that start later read too.
	told time.Time
}

// pair is one end under one request.
type pair struct {
	end     End
	weight  int
	learned time.Time
	told    time.Time // when it was learned, or told again
}

// weight is what weighs on the request.
func (r *record) weight() int { return r.weightSince(r.good) }

// weightSince is what weighs on the request if it was last served at a time; ends that were
// learned before, or shortly after it, do not.
func (r *record) weightSince(good time.Time) int {
	sum := 0
	for _, one := range r.ends {
		sum += one.weightSince(good)
	}
	return sum
}

func (p pair) weightSince(good time.Time) int {
	if !good.IsZero() && p.learned.Before(good.Add(goodTime)) {
		return 0
	}
	return p.weight
}

// told is a pair in the order of its telling.
type told struct {
	print Fingerprint
	end   End
	at    time.Time
}

// NewLedger returns a Ledger that knows of no end.
func NewLedger(clock func() time.Time) *Ledger {
	return &Ledger{clock: clock, known: map[Fingerprint]*record{}, at: map[End][]Fingerprint{}, maybeHeld: func() {}}
}

// Hear takes over what this entry saw or another one told.
func (l *Ledger) Hear(report Report) {
	if l.take(report) {
		l.maybeHeld()
	}
}

// take is Hear, and reports whether another request may be held now.
func (l *Ledger) take(report Report) bool {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, print := range report.Served {
		if rec := l.known[print]; rec != nil {
			rec.good, rec.told = now, now
		}
	}
	held := false
	for _, print := range report.Suspects {
		held = l.note(now, print, report.End, suspectWeight) || held
	}
	for _, print := range report.Running {
		held = l.note(now, print, report.End, runningWeight) || held
	}
	l.forget(now)
	return held
}

// note takes in what an end weighs on a request, and reports whether it may be held now; l.mu
// is held.
func (l *Ledger) note(now time.Time, print Fingerprint, end End, weight int) bool {
	rec := l.known[print]
	if rec == nil {
		rec = &record{}
		l.known[print] = rec
	}
	if i := slices.IndexFunc(rec.ends, func(one pair) bool { return one.end == end }); i >= 0 {
		rec.ends[i].told, rec.ends[i].weight = now, max(rec.ends[i].weight, weight)
	} else {
		rec.ends = append(rec.ends, pair{end: end, weight: weight, learned: now, told: now})
		l.at[end] = append(l.at[end], print)
		l.pairs++
	}
	l.order = append(l.order, told{print, end, now})
	return rec.weight() >= heldWeight
}

// drop forgets one pair; l.mu is held.
func (l *Ledger) drop(print Fingerprint, end End) {
	rec := l.known[print]
	rec.ends = slices.DeleteFunc(rec.ends, func(one pair) bool { return one.end == end })
	if len(rec.ends) == 0 {
		delete(l.known, print)
	}
	l.at[end] = slices.DeleteFunc(l.at[end], func(one Fingerprint) bool { return one == print })
	if len(l.at[end]) == 0 {
		delete(l.at, end)
	}
	l.pairs--
}

// forget drops what was told too long ago and what is beyond the bound, oldest first; l.mu is
// held.
func (l *Ledger) forget(now time.Time) {
	gone := 0
	for _, oldest := range l.order {
		if now.Sub(oldest.at) < HoldTime && l.pairs <= maxPairs && len(l.order)-gone <= 2*maxPairs {
			break
		}
		gone++
		// One that was told again since is not dropped for its old telling.
		rec := l.known[oldest.print]
		if rec != nil && slices.ContainsFunc(rec.ends, func(one pair) bool { return one.end == oldest.end && one.told.Equal(oldest.at) }) {
			l.drop(oldest.print, oldest.end)
		}
	}
	l.order = l.order[gone:]
}

// Held reports whether a request is sent to no endpoint, and until when if it does not come
// again before.
func (l *Ledger) Held(print Fingerprint) (until time.Time, held bool) {
	now := l.clock()
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.current(now, print)
	if rec == nil || rec.weight() < heldWeight || l.unexplained(rec) < heldWeight {
		return time.Time{}, false
	}
	for _, one := range rec.ends {
		until = laterOf(until, one.told.Add(HoldTime))
	}
	return until, true
}

// current returns what is known of a request without ends that are too old, nil where that is
// nothing; l.mu is held for reading.
func (l *Ledger) current(now time.Time, print Fingerprint) *record {
	rec := l.known[print]
	old := func(one pair) bool { return now.Sub(one.told) >= HoldTime }
	if rec == nil || !slices.ContainsFunc(rec.ends, old) {
		return rec
	}
	return &record{ends: slices.DeleteFunc(slices.Clone(rec.ends), old), good: rec.good}
}

// unexplained returns what weighs on a request of its ends that did not also happen under
// another one on which more weighs: where they did it only ran beside that one. One that is to
// blame is explained by no other for long, since it comes alone sooner or later. l.mu is held
// for reading.
func (l *Ledger) unexplained(rec *record) int {
	whole, left := rec.weight(), 0
	for _, one := range rec.ends {
		if !slices.ContainsFunc(l.at[one.end], func(other Fingerprint) bool { return l.known[other].weight() > whole }) {
			left += one.weightSince(rec.good)
		}
	}
	return left
}

// Renew returns what is to be told again so that a held request that still comes stays held,
// also at entries that start later; nothing while the last telling is new enough.
func (l *Ledger) Renew(print Fingerprint) []Report {
	now := l.clock()
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.known[print]
	if rec == nil {
		return nil
	}
	var reports []Report
	for _, one := range rec.ends {
		if now.Sub(one.told) < HoldTime/2 {
			return nil
		}
		report := Report{End: one.end, Suspects: []Fingerprint{print}}
		if one.weight == runningWeight {
			report.Suspects, report.Running = nil, report.Suspects
		}
		reports = append(reports, report)
	}
	return reports
}

// Suspected reports whether so much weighs on a request that one more end holds it.
func (l *Ledger) Suspected(print Fingerprint) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.known[print]
	return rec != nil && rec.weight() >= suspectedWeight
}

// Served notes that an endpoint ran a request to a good end, and reports whether the other
// entries have to hear of it: one further end would hold the request at an entry that knows
// only what all were told.
func (l *Ledger) Served(print Fingerprint) (tell bool) {
	l.mu.RLock()
	known := l.known[print] != nil
	l.mu.RUnlock()
	if !known {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.known[print]
	if rec == nil {
		return false
	}
	now := l.clock()
	rec.good = now
	if rec.weightSince(rec.told) < suspectedWeight {
		return false
	}
	rec.told = now
	return true
}

// Notify lets the function be called whenever another request may be held, without a lock. It
// is called before anything is heard.
func (l *Ledger) Notify(maybeHeld func()) { l.maybeHeld = maybeHeld }

// Size returns the requests and the ends that are remembered.
func (l *Ledger) Size() (requests, ends int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.known), len(l.at)
}

func laterOf(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}
