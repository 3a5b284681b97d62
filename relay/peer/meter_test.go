package peer

import (
	"context"
	"errors"
	"expvar"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"comfreyrelay.example/relay/wire"
)

// callCounts holds the counters of one call: calls made, calls served, bytes in and
// bytes out.
type callCounts [4]int64

func callCountsOf(name string) (now callCounts) {
	for i, all := range []*expvar.Map{callsMade, callsServed, bytesIn, bytesOut} {
		now[i] = all.Get(name).(*expvar.Int).Value()
	}
	return now
}

func (f callCounts) since(before callCounts) (diff callCounts) {
	for i := range f {
		diff[i] = f[i] - before[i]
	}
	return diff
}

// TestTrafficByCall checks the counters of a call and a stream. Caller and callee
// share this test's process, so each message counts once as out and once as in.
func TestTrafficByCall(t *testing.T) {
	frame := &wire.Frame{RequestId: "r", Tokens: []string{"un", "dos"}}
	attempt := &wire.Attempt{Prompt: "a letter from Xela"}
	request, reply := &wire.HaveRequest{Version: "v"}, &wire.HaveReply{UploadQueue: 7}
	server := newReplyingServer()
	server.run = func(_ *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		for range 3 {
			if err := stream.Send(frame); err != nil {
				return err
			}
		}
		return nil
	}
	clock, deployment := clockwork.NewFakeClock(), newAuthority(t)
	lis := listen(t, "127.0.0.1:0")
	serve(t, lis, loadKeys(t, deployment.issue(t, t.TempDir(), "agent-1", RoleAgent), clock), server)
	keys := loadKeys(t, deployment.issue(t, t.TempDir(), "entry-1", RoleEntry), clock)
	pool := NewPool(keys)
	defer pool.Close()
	client := wire.NewDRPCHostClient(pool.Conn(t.Context(), lis.Addr().String()))
	have, run, connectionBytes := callCountsOf("hostHave"), callCountsOf("hostRun"), connectionBytesOut.Value()
	if _, err := client.Have(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	stream, err := client.Run(t.Context(), attempt)
	if err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = stream.Recv()
	}
	haveBytes := int64(proto.Size(request) + proto.Size(reply))
	if got, want := callCountsOf("hostHave").since(have), (callCounts{1, 1, haveBytes, haveBytes}); got != want {
		t.Errorf("got made, served, in, out %v for hostHave, want %v", got, want)
	}
	runBytes := int64(proto.Size(attempt) + 3*proto.Size(frame))
	if got, want := callCountsOf("hostRun").since(run), (callCounts{1, 1, runBytes, runBytes}); got != want {
		t.Errorf("got made, served, in, out %v for hostRun, want %v", got, want)
	}
	if got, least := connectionBytesOut.Value()-connectionBytes, haveBytes+runBytes; got <= least {
		t.Errorf("got %d bytes out over all connections, want more than the messages' %d", got, least)
	}
}

// TestInventedCallsAreNotCounted guards against counters for unknown calls: a peer
// that invents ever new names would exhaust the memory.
func TestInventedCallsAreNotCounted(t *testing.T) {
	lis := listen(t, "127.0.0.1:0")
	serve(t, lis, nil, newReplyingServer())
	pool := NewPool(nil)
	defer pool.Close()
	conn := pool.Conn(t.Context(), lis.Addr().String())
	encoding := trafficByCall["/comfreyrelay.wire.Host/Have"].encoding
	err := conn.Invoke(t.Context(), "/made.Up/Name", encoding, &wire.HaveRequest{}, &wire.HaveReply{})
	if err == nil {
		t.Error("got no error for a call that nobody serves, want one")
	}
	count := 0
	callsServed.Do(func(expvar.KeyValue) { count++ })
	if got, want := count, len(trafficByCall); got != want {
		t.Errorf("got %d counters, want one for each of the %d calls", got, want)
	}
}

// bufferStream is a stream without a connection, to measure the counters alone.
type bufferStream struct {
	drpc.Stream

	data []byte
}

func (p *bufferStream) MsgSend(msg drpc.Message, enc drpc.Encoding) (err error) {
	p.data, err = enc.(*traffic).MarshalAppend(p.data[:0], msg)
	return err
}

func (p *bufferStream) Context() context.Context { return context.Background() }

func BenchmarkFrame(b *testing.B) {
	frame := &wire.Frame{RequestId: "0192d1f0-0000-7000-8000-000000000000", Sequence: 9, Kind: "tokens", Tokens: []string{"carta"}}
	count := trafficByCall["/comfreyrelay.wire.Host/Run"]
	b.Run("metered", func(b *testing.B) {
		stream := meteredStream{&bufferStream{}, count}
		for b.Loop() {
			if err := stream.MsgSend(frame, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("bare", func(b *testing.B) {
		var data []byte
		for b.Loop() {
			var err error
			if data, err = (proto.MarshalOptions{}).MarshalAppend(data[:0], frame); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCall measures a whole call and a whole stream of 64 frames over
// loopback, in clear text, with and without the counters.
func BenchmarkCall(b *testing.B) {
	const frames = 64
	frame := &wire.Frame{RequestId: "0192d1f0-0000-7000-8000-000000000000", Sequence: 9, Kind: "tokens", Tokens: []string{"carta"}}
	server := newReplyingServer()
	server.run = func(_ *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		for range frames {
			if err := stream.Send(frame); err != nil {
				return err
			}
		}
		return nil
	}
	lis := listen(b, "127.0.0.1:0")
	serve(b, lis, nil, server)
	pool := NewPool(nil)
	defer pool.Close()
	metered := pool.Conn(b.Context(), lis.Addr().String())
	for name, conn := range map[string]drpc.Conn{"metered": metered, "bare": metered.(meteredConn).Conn} {
		client := wire.NewDRPCHostClient(conn)
		b.Run("have/"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := client.Have(b.Context(), &wire.HaveRequest{Version: "v"}); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("run64/"+name, func(b *testing.B) {
			for b.Loop() {
				stream, err := client.Run(b.Context(), &wire.Attempt{})
				for err == nil {
					_, err = stream.Recv()
				}
				if !errors.Is(err, io.EOF) {
					b.Fatal(err)
				}
			}
		})
	}
}
