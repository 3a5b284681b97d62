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
	// lookedEnds is how many ends of a request, the newest ones, decide whether it is held: one
	// that is in progress wherever anything ends has thousands, and each arrival asks.
	lookedEnds = 4 * endsAllowed
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
	ended map[End]*ending
	// tellings is in the order of telling; a pair that was told again stands several times.
	tellings []telling
	pairs    int
	// maybeHeld is called after a report by which one more request may be held.
	maybeHeld func()
}

// record is what is known of one request under which an endpoint ended.
type record struct {
	print Fingerprint
	pairs []*pair // in the order in which they were learned; those that count are the last ones
	// weight is that of the pairs that count, kept as they change: requests are asked for far
	// more often than endpoints end.
	weight int
	good   time.Time // when a good answer was last heard of; zero: none was
	// told is when one was last told of to all, which entries that start later read too.
	told time.Time
	// newest is when any pair was last told.
	newest time.Time
}

// ending is what is known of one end of an endpoint: the requests under it, a few dozen at most,
// since an endpoint has no more in progress.
type ending struct {
	end   End
	pairs []*pair
}

// pair is one end under one request.
type pair struct {
	rec     *record
	ending  *ending
	weight  int
	counts  bool // it was not learned before the last good answer, nor shortly after it
	learned time.Time
	told    time.Time // when it was learned, or told again
}

// telling is a pair in the order of telling.
type telling struct {
	pair *pair
	at   time.Time
}

// NewLedger returns a Ledger that knows of no end.
func NewLedger(clock func() time.Time) *Ledger {
	return &Ledger{clock: clock, known: map[Fingerprint]*record{}, ended: map[End]*ending{}, maybeHeld: func() {}}
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
			rec.acquit(now)
			rec.told = now
		}
	}
	held := false
	for _, print := range report.Suspects {
		held = l.note(now, print, report.End, suspectWeight) || held
	}
	for _, print := range report.Running {
		held = l.note(now, print, report.End, runningWeight) || held
	}
	l.forgetOld(now)
	l.makeRoom()
	return held
}

// acquit notes a good answer: no end that is known counts any more.
func (r *record) acquit(now time.Time) {
	r.good, r.weight = now, 0
	for _, one := range slices.Backward(r.pairs) {
		if !one.counts {
			return
		}
		one.counts = false
	}
}

// note takes in what an end weighs on a request, and reports whether it may be held now; l.mu
// is held.
func (l *Ledger) note(now time.Time, print Fingerprint, end End, weight int) bool {
	rec := l.known[print]
	if rec == nil {
		rec = &record{print: print}
		l.known[print] = rec
	}
	at := l.ended[end]
	if at == nil {
		at = &ending{end: end}
		l.ended[end] = at
	}
	one := at.of(rec)
	if one == nil {
		one = &pair{rec: rec, ending: at, learned: now, counts: rec.good.IsZero() || !now.Before(rec.good.Add(goodTime))}
		rec.pairs = append(rec.pairs, one)
		at.pairs = append(at.pairs, one)
		l.pairs++
	}
	if weight > one.weight {
		if one.counts {
			rec.weight += weight - one.weight
		}
		one.weight = weight
	}
	one.told, rec.newest = now, now
	l.tellings = append(l.tellings, telling{one, now})
	return rec.weight >= heldWeight
}

// of returns the pair of a request at this end; nil: it was not in progress there.
func (e *ending) of(rec *record) *pair {
	for _, one := range e.pairs {
		if one.rec == rec {
			return one
		}
	}
	return nil
}

// drop forgets one pair; l.mu is held.
func (l *Ledger) drop(one *pair) {
	rec, at := one.rec, one.ending
	if rec.pairs[0] == one {
		// Ends are mostly forgotten in the order in which they were learned.
		rec.pairs[0] = nil
		rec.pairs = rec.pairs[1:]
	} else {
		rec.pairs = without(rec.pairs, one)
	}
	if one.counts {
		rec.weight -= one.weight
	}
	if len(rec.pairs) == 0 {
		delete(l.known, rec.print)
	}
	at.pairs = without(at.pairs, one)
	if len(at.pairs) == 0 {
		delete(l.ended, at.end)
	}
	one.rec = nil
	l.pairs--
}

func without(pairs []*pair, one *pair) []*pair {
	return slices.DeleteFunc(pairs, func(other *pair) bool { return other == one })
}

// forgetOld drops what was told too long ago; l.mu is held.
func (l *Ledger) forgetOld(now time.Time) {
	l.forgetWhile(func(oldest telling) bool { return now.Sub(oldest.at) >= HoldTime })
}

// makeRoom drops what is beyond the bound, oldest first; l.mu is held.
func (l *Ledger) makeRoom() {
	l.forgetWhile(func(telling) bool { return l.pairs > maxPairs || len(l.tellings) > 2*maxPairs })
}

// forgetWhile drops the pair told longest ago as long as the function says so; l.mu is held.
func (l *Ledger) forgetWhile(beyond func(oldest telling) bool) {
	for len(l.tellings) > 0 && beyond(l.tellings[0]) {
		oldest := l.tellings[0]
		l.tellings = l.tellings[1:]
		// One that was told again since is not dropped for its old telling.
		if oldest.pair.rec != nil && oldest.pair.told.Equal(oldest.at) {
			l.drop(oldest.pair)
		}
	}
}

// Held reports whether a request is sent to no endpoint, and until when if it does not come
// again before.
func (l *Ledger) Held(print Fingerprint) (until time.Time, held bool) {
	l.expire(l.clock())
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.known[print]
	if rec == nil || !l.holds(rec) {
		return time.Time{}, false
	}
	return rec.newest.Add(HoldTime), true
}

// expire drops what was told too long ago, so that who asks meets nothing of it.
func (l *Ledger) expire(now time.Time) {
	l.mu.RLock()
	expired := len(l.tellings) > 0 && now.Sub(l.tellings[0].at) >= HoldTime
	l.mu.RUnlock()
	if !expired {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetOld(now)
}

// holds reports whether a request is held; l.mu is held for reading.
func (l *Ledger) holds(rec *record) bool {
	if rec.weight < heldWeight {
		return false
	}
	left, _ := l.unexplained(rec)
	return left >= heldWeight
}

// unexplained returns what weighs on a request of its newest ends that did not also happen under
// another one on which more weighs: where they did it only ran beside that one. One that is to
// blame is explained by no other for long, since it comes alone sooner or later. It looks no
// further than is needed to hold the request, and tells at how many requests it looked. l.mu is
// held for reading.
func (l *Ledger) unexplained(rec *record) (left, looked int) {
	ends := 0
	for _, one := range slices.Backward(rec.pairs) {
		if !one.counts || ends == lookedEnds || left >= heldWeight {
			break
		}
		ends++
		looked += len(one.ending.pairs)
		if !slices.ContainsFunc(one.ending.pairs, func(other *pair) bool { return other.rec.weight > rec.weight }) {
			left += one.weight
		}
	}
	return left, looked
}

// Renew returns what is to be told again so that a held request that still comes stays held,
// also at entries that start later; nothing while the last telling is new enough.
func (l *Ledger) Renew(print Fingerprint) []Report {
	now := l.clock()
	l.mu.RLock()
	defer l.mu.RUnlock()
	rec := l.known[print]
	if rec == nil || now.Sub(rec.newest) < HoldTime/2 {
		return nil
	}
	var reports []Report
	for _, one := range rec.pairs[max(0, len(rec.pairs)-lookedEnds):] {
		report := Report{End: one.ending.end, Suspects: []Fingerprint{print}}
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
	return rec != nil && rec.weight >= suspectedWeight
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
	rec.acquit(now)
	if !rec.suspectedSince(rec.told) {
		return false
	}
	rec.told = now
	return true
}

// suspectedSince reports whether one further end would hold the request if it was last served at
// a time.
func (r *record) suspectedSince(good time.Time) bool {
	sum := 0
	for _, one := range slices.Backward(r.pairs) {
		if !good.IsZero() && one.learned.Before(good.Add(goodTime)) {
			return false
		}
		if sum += one.weight; sum >= suspectedWeight {
			return true
		}
	}
	return false
}

// Notify lets the function be called whenever another request may be held, without a lock. It
// is called before anything is heard.
func (l *Ledger) Notify(maybeHeld func()) { l.maybeHeld = maybeHeld }

// Size returns the requests and the ends that are remembered.
func (l *Ledger) Size() (requests, ends int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.known), len(l.ended)
}
