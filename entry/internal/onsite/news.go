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
	newsGap = 150 * time.Millisecond
	// batchBytes bounds the values in one reply, far below a message's bound;
	// one value may be larger.
	batchBytes = 256 << 10
	// partBytes is what a reply holds of a value that comes in parts: a link that many share
	// carries it well before the follower takes the source for silent.
	partBytes = 32 << 10
)

// newsServer sends other entries what this one knows: wire.News.
type newsServer struct {
	state  *site.State
	mirror *site.Mirror
	clock  clockwork.Clock
	packer packer
}

// Share sends what is known and its age until the caller goes.
func (s *newsServer) Share(stream wire.DRPCNews_ShareStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	asked := make(chan struct{}, 1)
	newest := &atomic.Uint64{}
	newest.Store(first.GetNumber())
	go func() {
		defer cancel()
		for {
			request, err := stream.Recv()
			if err != nil {
				return
			}
			newest.Store(request.GetNumber())
			select {
			case asked <- struct{}{}:
			default:
			}
		}
	}()
	sent, parts := first.GetRevision(), first.GetParts()
	sentAt := time.Time{} // when changes were last sent
	for {
		before := sent
		changed, err := s.send(stream, newest.Load(), &sent, parts)
		if err != nil {
			return err
		}
		if sent != before {
			sentAt = s.clock.Now()
		}
		if !s.pause(ctx, changed, asked, sentAt) {
			return nil
		}
	}
}

// pause waits for a request, or for a change and until newsGap after the changes
// sent last; false says that the caller is gone. A change that comes alone is sent
// at once.
func (s *newsServer) pause(ctx context.Context, changed, asked <-chan struct{}, sentAt time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-asked:
		return true
	case <-changed:
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(max(0, newsGap-s.clock.Since(sentAt))):
	}
	return true
}

// send sends what changed after the revision sent. The age is taken before the
// changes, so that these hold all that the proof speaks of.
//
// Rule AGEFIRST of spec/freshness.pml.
func (s *newsServer) send(stream wire.DRPCNews_ShareStream, answers uint64, sent *uint64, parts bool) (<-chan struct{}, error) {
	age, proven := s.state.Fresh().Age()
	changes, changed := s.mirror.Since(*sent)
	replies := s.batches(changes)
	if parts {
		replies = inParts(replies)
	}
	for i, reply := range replies {
		if i == len(replies)-1 {
			reply.Answers, reply.Proven, reply.AgeMicros = answers, proven, uint64(age.Microseconds())+1
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
func (s *newsServer) batches(changes site.Changes) []*wire.NewsReply {
	reply := &wire.NewsReply{Whole: changes.Whole}
	replies := []*wire.NewsReply{reply}
	bytes := 0
	for _, entry := range changes.Entries {
		if bytes >= batchBytes {
			reply, bytes = &wire.NewsReply{Whole: changes.Whole}, 0
			replies = append(replies, reply)
		}
		stored := &wire.StoredValue{Key: entry.Key(), Revision: entry.Revision(), Deleted: entry.Deleted()}
		if stored.Packed = s.packer.pack(entry); stored.Packed == nil {
			stored.Value = entry.Value()
		}
		bytes += len(entry.Key()) + len(stored.Value) + len(stored.Packed)
		reply.Changes = append(reply.Changes, stored)
	}
	reply.Revision = changes.Revision
	return replies
}

// inParts cuts large values, each part into a reply of its own.
func inParts(replies []*wire.NewsReply) []*wire.NewsReply {
	var cut []*wire.NewsReply
	for _, reply := range replies {
		var whole []*wire.StoredValue
		for _, one := range reply.GetChanges() {
			for len(one.GetValue())+len(one.GetPacked()) > partBytes {
				part := &wire.StoredValue{Key: one.GetKey(), Revision: one.GetRevision(), Continues: true}
				part.Value, one.Value = cutAt(one.GetValue())
				part.Packed, one.Packed = cutAt(one.GetPacked())
				cut = append(cut, &wire.NewsReply{Whole: reply.GetWhole(), Changes: append(whole, part)})
				whole = nil
			}
			whole = append(whole, one)
		}
		reply.Changes = whole
		cut = append(cut, reply)
	}
	return cut
}

// cutAt returns the first part of some bytes and the rest.
func cutAt(all []byte) (part, rest []byte) {
	at := min(partBytes, len(all))
	return all[:at], all[at:]
}

// errGap says that a source left something out.
var errGap = failure.New(failure.Internal, "a source left changes out or sent what cannot be read", "the stream is begun again")

// newsReader takes over what one other entry sends.
type newsReader struct {
	state  *site.State
	mirror *site.Mirror

	known   uint64 // revision that the changes still to come follow on
	pending []kv.Entry
	part    []byte // what came of a value that goes on
	// asked is when each request was sent, on the clock of the proofs; requests
	// answered are dropped.
	asked map[uint64]time.Duration
}

// receive takes over one reply; false says that something between is missing.
func (r *newsReader) receive(reply *wire.NewsReply) bool {
	for _, one := range reply.GetChanges() {
		if one.GetContinues() {
			r.part = append(append(r.part, one.GetValue()...), one.GetPacked()...)
			if len(r.part) > maxUnpacked {
				return false
			}
			continue
		}
		value := one.GetValue()
		if len(r.part) > 0 {
			value = append(r.part, value...)
		}
		if len(one.GetPacked()) > 0 {
			var err error
			if value, err = unpack(append(r.part, one.GetPacked()...)); err != nil {
				return false
			}
		}
		r.part = nil
		r.pending = append(r.pending, kv.NewEntry(one.GetKey(), value, one.GetRevision(), one.GetDeleted()))
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
	} else if !r.mirror.Apply(r.known, changes, reply.GetRevision(), true) {
		return false
	}
	r.known = reply.GetRevision()
	r.prove(reply)
	return true
}

// prove takes over the age of what the source knows: it made the reply after it
// had read the request, and so after that was sent.
//
// Rule SENT of spec/freshness.pml.
func (r *newsReader) prove(reply *wire.NewsReply) {
	sent, ok := r.asked[reply.GetAnswers()]
	if !ok || !reply.GetProven() {
		return
	}
	r.state.Fresh().Prove(sent - time.Duration(reply.GetAgeMicros())*time.Microsecond)
	for number := range r.asked {
		if number < reply.GetAnswers() {
			delete(r.asked, number)
		}
	}
}
