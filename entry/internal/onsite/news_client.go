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
	newsRequestInterval = 300 * time.Millisecond
	// newsSilence ends a stream that answers nothing for three requests.
	newsTimeout = 3 * newsRequestInterval
	// newsRetry is the mean pause before a stream is begun again.
	newsRetryPause = 200 * time.Millisecond
	// sourcesInterval is how often an entry looks whom to follow beside each
	// change of what is known.
	sourceCheckInterval = time.Second
)

// sources follows other entries in place of the store where the region has many.
type newsClient struct {
	state   *site.State
	mirror  *site.Mirror
	pool    *peer.Pool
	entryID string // id of this entry
	entry   site.Entry
	clock   clockwork.Clock
	log     *slog.Logger
	// apply returns the time within which a change must be in force.
	apply func() time.Duration

	liveStreams          atomic.Int64 // streams that bring something
	storeBackedStreams   atomic.Int64 // those of them whose source has the store
	followed             atomic.Bool  // the region is large enough that some follow others
	lastStoreBackedReply atomic.Int64 // when one that has the store answered last, Unix nanoseconds
}

// led returns for how long the store need not be asked: others send what it holds,
// and their knowledge is new enough.
func (s *newsClient) storeNotNeededFor() time.Duration {
	age, known := s.state.Fresh().Age()
	if s.liveStreams.Load() == 0 || !known {
		return 0
	}
	maxAge := site.Trust(s.apply())
	if s.storeBackedStreams.Load() == 0 {
		maxAge = site.TrustOfLost(s.apply())
	}
	return max(0, maxAge-age)
}

// follows reports whether this entry follows others of those known.
func (s *newsClient) followsOthers() bool { return len(s.wantedSources()) > 0 }

// brings reports whether an entry that this one follows answers and has the store.
func (s *newsClient) sourceHasStore() bool {
	return s.clock.Now().UnixNano()-s.lastStoreBackedReply.Load() < int64(newsTimeout)
}

// wait returns how long this entry's own watches wait.
func (s *newsClient) watchWait() time.Duration { return site.WatchWait(s.apply(), s.followed.Load()) }

// run keeps a stream from each entry to follow until ctx ends.
func (s *newsClient) run(ctx context.Context) {
	following := map[string]context.CancelFunc{}
	var streams sync.WaitGroup
	defer streams.Wait()
	for ctx.Err() == nil {
		changed := s.state.Changed()
		wanted := s.wantedSources()
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
		case <-s.clock.After(sourceCheckInterval):
		}
	}
	for _, cancel := range following {
		cancel()
	}
}

// wanted returns the control addresses of the entries to follow by their ids.
func (s *newsClient) wantedSources() map[string]string {
	entries := s.state.Entries()
	entries[s.entryID] = s.entry
	s.followed.Store(site.Followed(s.entry.Region, entries))
	wanted := map[string]string{}
	for _, id := range site.Sources(s.entryID, s.entry.Region, entries) {
		wanted[id] = entries[id].ControlAddress
	}
	return wanted
}

// follow keeps one stream, begun again whenever it ends.
func (s *newsClient) follow(ctx context.Context, id, address string) {
	for ctx.Err() == nil {
		err := s.stream(ctx, id, address)
		if ctx.Err() != nil {
			return
		}
		s.log.Warn("dependency lost", "dependency", "source", "source", id, "address", address, "error", err)
		select {
		case <-ctx.Done():
		case <-s.clock.After(newsRetryPause/2 + rand.N(newsRetryPause)):
		}
	}
}

func (s *newsClient) stream(ctx context.Context, id, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := s.clock.AfterFunc(newsTimeout, cancel)
	defer watchdog.Stop()
	stream, err := wire.NewDRPCNewsClient(s.pool.Conn(ctx, address)).Share(ctx)
	if err != nil {
		return err
	}
	reader := &newsReader{state: s.state, mirror: s.mirror, revision: s.mirror.Revision(), requestTimes: map[uint64]time.Duration{}}
	requester := &newsRequester{stream: stream, reader: reader}
	if err := requester.sendRequest(); err != nil {
		return err
	}
	go func() {
		defer cancel()
		requester.run(ctx, s.clock)
	}()
	up, storeBacked := false, false
	defer func() {
		if up {
			s.liveStreams.Add(-1)
		}
		s.countStoreBacked(&storeBacked, false)
	}()
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(newsTimeout)
		if !requester.receive(reply) {
			return errIncompleteStream
		}
		s.countStoreBacked(&storeBacked, !reply.GetStoreLost())
		if storeBacked {
			s.lastStoreBackedReply.Store(s.clock.Now().UnixNano())
		}
		if !up {
			up = true
			s.liveStreams.Add(1)
			s.log.Info("dependency regained", "dependency", "source", "source", id, "address", address)
		}
	}
}

// count counts a stream among those whose source has the store, or no longer.
func (s *newsClient) countStoreBacked(counted *bool, storeBacked bool) {
	if *counted == storeBacked {
		return
	}
	*counted = storeBacked
	if storeBacked {
		s.storeBackedStreams.Add(1)
	} else {
		s.storeBackedStreams.Add(-1)
	}
}

// newsAsker sends the requests of one stream and passes the replies to its reader.
type newsRequester struct {
	stream wire.DRPCNews_ShareClient

	mu     sync.Mutex
	reader *newsReader
	number uint64 // of the newest request
}

// ask sends one request. Its time is noted before it is sent.
func (a *newsRequester) sendRequest() error {
	a.mu.Lock()
	a.number++
	request := &wire.NewsRequest{Number: a.number}
	if a.number == 1 {
		request.Revision, request.Parts = a.reader.revision, true
	}
	a.reader.requestTimes[a.number] = a.reader.state.Fresh().Now()
	a.mu.Unlock()
	return a.stream.Send(request)
}

func (a *newsRequester) run(ctx context.Context, clock clockwork.Clock) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(newsRequestInterval):
		}
		if a.sendRequest() != nil {
			return
		}
	}
}

func (a *newsRequester) receive(reply *wire.NewsReply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader.receive(reply)
}
