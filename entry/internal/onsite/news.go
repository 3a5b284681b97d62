package onsite

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

const (
	// newsGap is the least time between two replies with changes to one entry:
	// of a series of configurations only the newest then crosses a source's
	// link, and a change still comes well within its bound.
	minNewsInterval = 150 * time.Millisecond
	// batchBytes bounds the values in one reply, far below a message's bound;
	// one value may be larger.
	maxBatchBytes = 256 << 10
	// partBytes is what a reply holds of a value that comes in parts: a link that many share
	// carries it well before the follower takes the source for silent.
	maxPartBytes = 32 << 10
)

// newsServer sends other entries what this one knows: wire.News.
type newsServer struct {
	state      *site.State
	mirror     *site.Mirror
	clock      clockwork.Clock
	compressor compressor
}

// Share sends what is known and its age until the caller goes.
func (s *newsServer) Share(stream wire.DRPCNews_ShareStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	requested := make(chan struct{}, 1)
	newestRequest := &atomic.Uint64{}
	newestRequest.Store(first.GetNumber())
	go func() {
		defer cancel()
		for {
			request, err := stream.Recv()
			if err != nil {
				return
			}
			newestRequest.Store(request.GetNumber())
			select {
			case requested <- struct{}{}:
			default:
			}
		}
	}()
	sent, acceptsParts := first.GetRevision(), first.GetParts()
	sentAt := time.Time{} // when changes were last sent
	for {
		before := sent
		changed, err := s.send(stream, newestRequest.Load(), &sent, acceptsParts)
		if err != nil {
			return err
		}
		if sent != before {
			sentAt = s.clock.Now()
		}
		if !s.waitForUpdate(ctx, changed, requested, sentAt) {
			return nil
		}
	}
}

// pause waits for a request, or for a change and until newsGap after the changes
// sent last; false says that the caller is gone. A change that comes alone is sent
// at once.
func (s *newsServer) waitForUpdate(ctx context.Context, changed, requested <-chan struct{}, sentAt time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-requested:
		return true
	case <-changed:
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(max(0, minNewsInterval-s.clock.Since(sentAt))):
	}
	return true
}

// send sends what changed after the revision sent. The age is taken before the
// changes, so that these hold all that the proof speaks of.
//
// Rule AGEFIRST of spec/freshness.pml.
func (s *newsServer) send(stream wire.DRPCNews_ShareStream, requestNumber uint64, sent *uint64, acceptsParts bool) (<-chan struct{}, error) {
	age, proven := s.state.Fresh().Age()
	changes, changed := s.mirror.Since(*sent)
	replies := s.buildReplies(changes)
	if acceptsParts {
		replies = splitLargeValues(replies)
	}
	for i, reply := range replies {
		if i == len(replies)-1 {
			reply.Answers, reply.Proven, reply.AgeMicros = requestNumber, proven, uint64(age.Microseconds())+1
			reply.SettleMillis = uint32(s.state.Settling().Milliseconds())
			reply.StoreLost = s.state.StoreLost()
		}
		if err := stream.Send(reply); err != nil {
			return nil, err
		}
	}
	*sent = changes.Revision
	return changed, nil
}

// batches cuts changes into replies; the last alone bears the revision.
func (s *newsServer) buildReplies(changes site.Changes) []*wire.NewsReply {
	reply := &wire.NewsReply{Whole: changes.Whole}
	replies := []*wire.NewsReply{reply}
	bytes := 0
	for _, entry := range changes.Entries {
		if bytes >= maxBatchBytes {
			reply, bytes = &wire.NewsReply{Whole: changes.Whole}, 0
			replies = append(replies, reply)
		}
		stored := &wire.StoredValue{Key: entry.Key(), Revision: entry.Revision(), Deleted: entry.Deleted()}
		if stored.Packed = s.compressor.compress(entry); stored.Packed == nil {
			stored.Value = entry.Value()
		}
		bytes += len(entry.Key()) + len(stored.Value) + len(stored.Packed)
		reply.Changes = append(reply.Changes, stored)
	}
	reply.Revision = changes.Revision
	return replies
}

// inParts cuts large values, each part into a reply of its own.
func splitLargeValues(replies []*wire.NewsReply) []*wire.NewsReply {
	var split []*wire.NewsReply
	for _, reply := range replies {
		var complete []*wire.StoredValue
		for _, stored := range reply.GetChanges() {
			for len(stored.GetValue())+len(stored.GetPacked()) > maxPartBytes {
				part := &wire.StoredValue{Key: stored.GetKey(), Revision: stored.GetRevision(), Continues: true}
				part.Value, stored.Value = splitPart(stored.GetValue())
				part.Packed, stored.Packed = splitPart(stored.GetPacked())
				split = append(split, &wire.NewsReply{Whole: reply.GetWhole(), Changes: append(complete, part)})
				complete = nil
			}
			complete = append(complete, stored)
		}
		reply.Changes = complete
		split = append(split, reply)
	}
	return split
}

// cutAt returns the first part of some bytes and the rest.
func splitPart(value []byte) (part, rest []byte) {
	at := min(maxPartBytes, len(value))
	return value[:at], value[at:]
}

// errGap says that a source left something out.
var errIncompleteStream = failure.New(failure.Internal, "a source left changes out or sent what cannot be read", "the stream is begun again")

// newsReader takes over what one other entry sends.
type newsReader struct {
	state  *site.State
	mirror *site.Mirror

	revision uint64 // revision that the changes still to come follow on
	pending  []kv.Entry
	partial  []byte // what came of a value that goes on
	// asked is when each request was sent, on the clock of the proofs; requests
	// answered are dropped.
	requestTimes map[uint64]time.Duration
}

// receive takes over one reply; false says that something between is missing.
func (r *newsReader) receive(reply *wire.NewsReply) bool {
	for _, stored := range reply.GetChanges() {
		if stored.GetContinues() {
			r.partial = append(append(r.partial, stored.GetValue()...), stored.GetPacked()...)
			if len(r.partial) > maxDecompressedBytes {
				return false
			}
			continue
		}
		value := stored.GetValue()
		if len(r.partial) > 0 {
			value = append(r.partial, value...)
		}
		if len(stored.GetPacked()) > 0 {
			var err error
			if value, err = decompress(append(r.partial, stored.GetPacked()...)); err != nil {
				return false
			}
		}
		r.partial = nil
		r.pending = append(r.pending, kv.NewEntry(stored.GetKey(), value, stored.GetRevision(), stored.GetDeleted()))
	}
	if reply.GetRevision() == 0 {
		return true
	}
	changes := r.pending
	r.pending = nil
	if settle := reply.GetSettleMillis(); settle > 0 {
		r.state.SettleFor(time.Duration(settle) * time.Millisecond)
	}
	if reply.GetWhole() {
		r.mirror.Reset(changes, reply.GetRevision())
	} else if !r.mirror.Apply(r.revision, changes, reply.GetRevision(), true) {
		return false
	}
	r.revision = reply.GetRevision()
	r.updateFreshness(reply)
	return true
}

// prove takes over the age of what the source knows: it made the reply after it
// had read the request, and so after that was sent.
//
// Rule SENT of spec/freshness.pml.
func (r *newsReader) updateFreshness(reply *wire.NewsReply) {
	sentAt, ok := r.requestTimes[reply.GetAnswers()]
	if !ok || !reply.GetProven() {
		return
	}
	r.state.Fresh().Prove(sentAt - time.Duration(reply.GetAgeMicros())*time.Microsecond)
	for number := range r.requestTimes {
		if number < reply.GetAnswers() {
			delete(r.requestTimes, number)
		}
	}
}
