package onsite

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

const (
	// askInterval is how often an entry asks those that it follows for the age of
	// their knowledge.
	askInterval = 300 * time.Millisecond
	// newsSilence ends a stream that answers nothing for three requests.
	newsSilence = 3 * askInterval
	// newsRetry is the mean pause before a stream is begun again.
	newsRetry = 200 * time.Millisecond
	// sourcesInterval is how often an entry looks whom to follow beside each
	// change of what is known.
	sourcesInterval = time.Second
)

// sources follows other entries in place of the store where the region has many.
type sources struct {
	state  *site.State
	mirror *site.Mirror
	pool   *peer.Pool
	self   string // id of this entry
	entry  site.Entry
	clock  clockwork.Clock
	log    *slog.Logger
	// apply returns the time within which a change must be in force.
	apply func() time.Duration

	live     atomic.Int64 // streams that bring something
	sound    atomic.Int64 // those of them whose source has the store
	followed atomic.Bool  // the region is large enough that some follow others
	soundAt  atomic.Int64 // when one that has the store answered last, Unix nanoseconds
}

// led returns for how long the store need not be asked: others send what it holds,
// and their knowledge is new enough.
func (s *sources) led() time.Duration {
	age, known := s.state.Fresh().Age()
	if s.live.Load() == 0 || !known {
		return 0
	}
	trust := site.Trust(s.apply())
	if s.sound.Load() == 0 {
		trust = site.TrustOfLost(s.apply())
	}
	return max(0, trust-age)
}

// follows reports whether this entry follows others of those known.
func (s *sources) follows() bool { return len(s.wanted()) > 0 }

// brings reports whether an entry that this one follows answers and has the store.
func (s *sources) brings() bool {
	return s.clock.Now().UnixNano()-s.soundAt.Load() < int64(newsSilence)
}

// wait returns how long this entry's own watches wait.
func (s *sources) wait() time.Duration { return site.WatchWait(s.apply(), s.followed.Load()) }

// run keeps a stream from each entry to follow until ctx ends.
func (s *sources) run(ctx context.Context) {
	following := map[string]context.CancelFunc{}
	var streams sync.WaitGroup
	defer streams.Wait()
	for ctx.Err() == nil {
		changed := s.state.Changed()
		wanted := s.wanted()
		for id, address := range wanted {
			if following[id] == nil {
				streamCtx, cancel := context.WithCancel(ctx)
				following[id] = cancel
				streams.Go(func() { s.follow(streamCtx, id, address) })
			}
		}
		for id, cancel := range following {
			if wanted[id] == "" {
				cancel()
				delete(following, id)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.clock.After(sourcesInterval):
		}
	}
	for _, cancel := range following {
		cancel()
	}
}

// wanted returns the control addresses of the entries to follow by their ids.
func (s *sources) wanted() map[string]string {
	entries := s.state.Entries()
	entries[s.self] = s.entry
	s.followed.Store(site.Followed(s.entry.Region, entries))
	wanted := map[string]string{}
	for _, id := range site.Sources(s.self, s.entry.Region, entries) {
		wanted[id] = entries[id].ControlAddress
	}
	return wanted
}

// follow keeps one stream, begun again whenever it ends.
func (s *sources) follow(ctx context.Context, id, address string) {
	for ctx.Err() == nil {
		err := s.stream(ctx, id, address)
		if ctx.Err() != nil {
			return
		}
		s.log.Warn("dependency lost", "dependency", "source", "source", id, "address", address, "error", err)
		select {
		case <-ctx.Done():
		case <-s.clock.After(newsRetry/2 + rand.N(newsRetry)):
		}
	}
}

func (s *sources) stream(ctx context.Context, id, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := s.clock.AfterFunc(newsSilence, cancel)
	defer watchdog.Stop()
	stream, err := wire.NewDRPCNewsClient(s.pool.Conn(ctx, address)).Share(ctx)
	if err != nil {
		return err
	}
	reader := &newsReader{state: s.state, mirror: s.mirror, known: s.mirror.Revision(), asked: map[uint64]time.Duration{}}
	asker := &newsAsker{stream: stream, reader: reader}
	if err := asker.ask(); err != nil {
		return err
	}
	go func() {
		defer cancel()
		asker.run(ctx, s.clock)
	}()
	up, sound := false, false
	defer func() {
		if up {
			s.live.Add(-1)
		}
		s.count(&sound, false)
	}()
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(newsSilence)
		if !asker.receive(reply) {
			return errGap
		}
		s.count(&sound, !reply.GetStoreLost())
		if sound {
			s.soundAt.Store(s.clock.Now().UnixNano())
		}
		if !up {
			up = true
			s.live.Add(1)
			s.log.Info("dependency regained", "dependency", "source", "source", id, "address", address)
		}
	}
}

// count counts a stream among those whose source has the store, or no longer.
func (s *sources) count(counted *bool, sound bool) {
	if *counted == sound {
		return
	}
	*counted = sound
	if sound {
		s.sound.Add(1)
	} else {
		s.sound.Add(-1)
	}
}

// newsAsker sends the requests of one stream and passes the replies to its reader.
type newsAsker struct {
	stream wire.DRPCNews_ShareClient

	mu     sync.Mutex
	reader *newsReader
	number uint64 // of the newest request
}

// ask sends one request. Its time is noted before it is sent.
func (a *newsAsker) ask() error {
	a.mu.Lock()
	a.number++
	request := &wire.NewsRequest{Number: a.number}
	if a.number == 1 {
		request.Revision, request.Parts = a.reader.known, true
	}
	a.reader.asked[a.number] = a.reader.state.Fresh().Now()
	a.mu.Unlock()
	return a.stream.Send(request)
}

func (a *newsAsker) run(ctx context.Context, clock clockwork.Clock) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(askInterval):
		}
		if a.ask() != nil {
			return
		}
	}
}

func (a *newsAsker) receive(reply *wire.NewsReply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader.receive(reply)
}
