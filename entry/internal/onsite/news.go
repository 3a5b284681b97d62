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
	// minNewsInterval is the minimum time between two replies with changes to one follower. In a
	// series of configurations only the latest is sent over the source's link, and a change still
	// arrives well within its time limit.
	minNewsInterval = 150 * time.Millisecond
	// maxBatchBytes is the size of the values in a reply from which on the next reply is started.
	// It is far below the size limit of a message. A single value may exceed it.
	maxBatchBytes = 256 << 10
	// maxPartBytes limits the part of a split value in one reply. A shared link transfers it well
	// before the follower's timeout for the source.
	maxPartBytes = 32 << 10
)

// newsServer implements wire.News: it sends this entry's copy of the store to other entries.
type newsServer struct {
	state      *site.State
	mirror     *site.Mirror
	clock      clockwork.Clock
	compressor compressor
}

// Share sends changes and the age of the data until the caller disconnects.
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

// waitForUpdate waits for a request, or for a change and until minNewsInterval has passed since
// the last changes were sent. A single change after a quiet period is thus sent at once. It
// returns false if the caller has disconnected.
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

// send sends the changes after the revision *sent. It reads the age before the changes, so that
// they contain everything that was known at that age.
//
// Rule AGEFIRST of spec/freshness.pml.
func (s *newsServer) send(stream wire.DRPCNews_ShareStream, requestNumber uint64, sent *uint64, acceptsParts bool) (<-chan struct{}, error) {
	age, proven := s.state.Freshness().Age()
	changes, changed := s.mirror.Since(*sent)
	replies := s.buildReplies(changes)
	if acceptsParts {
		replies = splitLargeValues(replies)
	}
	for i, reply := range replies {
		if i == len(replies)-1 {
			reply.Answers, reply.Proven, reply.AgeMicros = requestNumber, proven, uint64(age.Microseconds())+1
			reply.SettleMillis = uint32(s.state.GraceLeft().Milliseconds())
			reply.StoreLost = s.state.StoreLost()
			if len(changes.Entries) > 0 {
				reply.Declared = declaredWeights(s.state.Declarations())
			}
		}
		if err := stream.Send(reply); err != nil {
			return nil, err
		}
	}
	*sent = changes.Revision
	return changed, nil
}

// declaredWeights encodes declarations.
func declaredWeights(declarations []site.Declaration) []*wire.DeclaredWeights {
	var declared []*wire.DeclaredWeights
	for _, known := range declarations {
		declared = append(declared, &wire.DeclaredWeights{Model: known.Model, Version: known.Version, AgeMillis: uint32(known.Age.Milliseconds())})
	}
	return declared
}

// buildReplies distributes changes over replies. Only the last reply has the revision.
func (s *newsServer) buildReplies(changes site.Changes) []*wire.NewsReply {
	reply := &wire.NewsReply{Whole: changes.Full}
	replies := []*wire.NewsReply{reply}
	bytes := 0
	for _, entry := range changes.Entries {
		if bytes >= maxBatchBytes {
			reply, bytes = &wire.NewsReply{Whole: changes.Full}, 0
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

// splitLargeValues splits values above maxPartBytes; every part but the last ends a reply.
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

// splitPart returns the first maxPartBytes of a value and the rest.
func splitPart(value []byte) (part, rest []byte) {
	at := min(maxPartBytes, len(value))
	return value[:at], value[at:]
}

// errIncompleteStream reports that a source omitted changes or sent data that cannot be decoded.
var errIncompleteStream = failure.New(failure.Internal, "a source omitted changes or sent data that cannot be decoded", "the stream is restarted")

// newsReader applies the replies of one source to the local copy of the store.
type newsReader struct {
	state  *site.State
	mirror *site.Mirror

	revision uint64 // revision on which the next changes are based
	pending  []kv.Entry
	partial  []byte // parts received so far of a split value
	// requestTimes holds the send time of each request by number, on the clock of the freshness
	// tracker. Requests older than the last one answered are removed.
	requestTimes map[uint64]time.Duration
}

// receive applies one reply. It returns false if changes are missing or a value cannot be
// decoded.
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
		r.state.KeepRegistrationsFor(time.Duration(settle) * time.Millisecond)
	}
	if reply.GetWhole() {
		r.mirror.Reset(changes, reply.GetRevision(), true)
	} else if !r.mirror.Apply(r.revision, changes, reply.GetRevision(), true) {
		return false
	}
	for _, weights := range reply.GetDeclared() {
		r.state.RecordDeclarationAge(weights.GetModel(), weights.GetVersion(), time.Duration(weights.GetAgeMillis())*time.Millisecond)
	}
	r.revision = reply.GetRevision()
	r.updateFreshness(reply)
	return true
}

// updateFreshness records the age of the source's data. The age counts from when the answered
// request was sent, because the source made the reply after it read the request.
//
// Rule SENT of spec/freshness.pml.
func (r *newsReader) updateFreshness(reply *wire.NewsReply) {
	sentAt, ok := r.requestTimes[reply.GetAnswers()]
	if !ok || !reply.GetProven() {
		return
	}
	r.state.Freshness().Prove(sentAt - time.Duration(reply.GetAgeMicros())*time.Microsecond)
	for number := range r.requestTimes {
		if number < reply.GetAnswers() {
			delete(r.requestTimes, number)
		}
	}
}
