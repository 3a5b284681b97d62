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
	// newsRequestInterval is how often an entry asks its sources for the age of their data.
	newsRequestInterval = 300 * time.Millisecond
	// newsTimeout ends a stream after three requests without a reply.
	newsTimeout = 3 * newsRequestInterval
	// newsRetryPause is the mean pause before a stream is reopened.
	newsRetryPause = 200 * time.Millisecond
	// sourceCheckInterval is how often an entry selects its sources again, in addition to each
	// change of the state.
	sourceCheckInterval = time.Second
)

// newsClient receives changes from other entries, its sources, in regions with so many entries
// that not all of them read the store themselves.
type newsClient struct {
	state   *site.State
	mirror  *site.Mirror
	pool    *peer.Pool
	entryID string // ID of this entry
	entry   site.Entry
	clock   clockwork.Clock
	log     *slog.Logger
	// apply returns the time limit within which a change must take effect.
	apply func() time.Duration

	liveStreams          atomic.Int64 // streams on which a reply arrived
	storeBackedStreams   atomic.Int64 // streams whose source reaches the store
	followed             atomic.Bool  // whether the region is large enough for entries to follow others
	lastStoreBackedReply atomic.Int64 // time of the last reply from a source that reaches the store, Unix nanoseconds
}

// storeNotNeededFor returns how long this entry need not watch the store itself, because its
// sources send changes and their data is recent enough.
func (s *newsClient) storeNotNeededFor() time.Duration {
	age, known := s.state.Freshness().Age()
	if s.liveStreams.Load() == 0 || !known {
		return 0
	}
	maxAge := site.MaxSourceAge(s.apply())
	if s.storeBackedStreams.Load() == 0 {
		maxAge = site.MaxLostSourceAge(s.apply())
	}
	return max(0, maxAge-age)
}

// followsOthers reports whether this entry has sources among the known entries.
func (s *newsClient) followsOthers() bool { return len(s.wantedSources()) > 0 }

// sourceHasStore reports whether a source that reaches the store replied recently.
func (s *newsClient) sourceHasStore() bool {
	return s.clock.Now().UnixNano()-s.lastStoreBackedReply.Load() < int64(newsTimeout)
}

// watchWait returns the wait time of this entry's own watches of the store, given the age of the data
// and the time that an answer may take.
func (s *newsClient) watchWait(age, answer time.Duration) time.Duration {
	return site.WatchWait(s.apply(), s.followed.Load(), age, answer)
}

// run keeps a stream open to each source until ctx is cancelled.
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

// wantedSources returns the control addresses of the sources by entry ID.
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

// follow keeps the stream to one source open and reopens it when it ends.
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

// stream opens the stream to one source and applies its replies until it fails.
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
			s.state.Contact().Received()
		}
		if !up {
			up = true
			s.liveStreams.Add(1)
			s.log.Info("dependency regained", "dependency", "source", "source", id, "address", address)
		}
	}
}

// countStoreBacked adds a stream to the streams whose source reaches the store, or removes it.
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

// newsRequester sends the requests on one stream and passes the replies to the stream's reader.
type newsRequester struct {
	stream wire.DRPCNews_ShareClient

	mu     sync.Mutex
	reader *newsReader
	number uint64 // of the latest request
}

// sendRequest sends one request. It records the time before sending.
func (a *newsRequester) sendRequest() error {
	a.mu.Lock()
	a.number++
	request := &wire.NewsRequest{Number: a.number}
	if a.number == 1 {
		request.Revision, request.Parts = a.reader.revision, true
	}
	a.reader.requestTimes[a.number] = a.reader.state.Freshness().Now()
	a.mu.Unlock()
	return a.stream.Send(request)
}

// run sends a request every newsRequestInterval until ctx is cancelled or sending fails.
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

// receive passes a reply to the reader, which is shared with sendRequest.
func (a *newsRequester) receive(reply *wire.NewsReply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader.receive(reply)
}
