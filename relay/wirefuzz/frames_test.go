package wirefuzz

import (
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"comfreyrelay.example/relay/wire"
)

// maxInput is the size that the server reads at once, so that writing an input
// returns even if the server stops reading.
const maxInput = 4096

const (
	runCall  = "/comfreyrelay.wire.Host/Run"
	haveCall = "/comfreyrelay.wire.Host/Have"
	syncCall = "/comfreyrelay.wire.Control/Sync"
)

// frame appends one complete packet.
func frame(buf []byte, kind drpcwire.Kind, stream, message uint64, data []byte) []byte {
	return drpcwire.AppendFrame(buf, drpcwire.Frame{
		ID: drpcwire.ID{Stream: stream, Message: message}, Kind: kind, Done: true, Data: data,
	})
}

// call appends the packets of a complete call.
func call(buf []byte, stream uint64, name string, body []byte) []byte {
	buf = frame(buf, drpcwire.KindInvoke, stream, 1, []byte(name))
	buf = frame(buf, drpcwire.KindMessage, stream, 2, body)
	return frame(buf, drpcwire.KindCloseSend, stream, 3, nil)
}

func encoded(t testing.TB, msg proto.Message) []byte {
	t.Helper()
	text, err := proto.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// seeds returns valid calls and calls that are each malformed in one way.
func seeds(t testing.TB) [][]byte {
	attempt := encoded(t, &wire.Attempt{RequestId: "r", Prompt: "p", ResumeTokens: []string{"a"}})
	sync := encoded(t, &wire.SyncRequest{
		From: &wire.Node{Id: "entry-1"}, Known: &wire.Known{Revision: 1},
		Root: &wire.Root{Revision: 2, Parts: []*wire.Part{{Name: "models", Hash: "ab", Size: 1 << 31}}}, Parts: [][]byte{{1}},
	})
	whole := call(nil, 1, runCall, attempt)
	return [][]byte{
		nil,
		whole,
		call(call(nil, 1, syncCall, sync), 2, haveCall, encoded(t, &wire.HaveRequest{Chunks: []uint64{1}})),
		whole[:len(whole)/2],                                                                          // truncated
		call(nil, 1, runCall, []byte{0xff, 0xff, 0xff}),                                               // not protobuf
		call(nil, 1, runCall, []byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f}),                             // a length beyond the message
		call(nil, 1, "/comfreyrelay.wire.Host/None", nil),                                             // no such call
		call(nil, 1, "", nil),                                                                         // no name
		call(nil, 1, syncCall, attempt),                                                               // another call's message
		frame(nil, drpcwire.KindMessage, 1, 1, attempt),                                               // a message first
		frame(nil, drpcwire.KindInvoke, 0, 0, []byte(runCall)),                                        // stream 0
		append(call(nil, 5, haveCall, nil), call(nil, 4, haveCall, nil)...),                           // an older stream
		frame(frame(nil, drpcwire.KindInvoke, 1, 1, []byte(runCall)), drpcwire.KindCancel, 1, 2, nil), // cancelled before its message
		frame(frame(nil, drpcwire.KindInvoke, 1, 1, []byte(runCall)), drpcwire.KindInvoke, 1, 2, []byte(runCall)),
		frame(frame(nil, drpcwire.KindInvoke, 1, 1, []byte(runCall)), drpcwire.KindError, 1, 2, []byte{1, 2, 3}),
		frame(nil, drpcwire.KindInvokeMetadata, 1, 1, []byte{0x0a, 0xff, 0x01}),        // truncated metadata
		frame(nil, drpcwire.Kind(63), 1, 1, nil),                                       // no such kind
		{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // a varint that never ends
		{0x03, 0x01, 0x01, 0xff, 0xff, 0xff, 0xff, 0x7f, 0x00},                         // a frame of 32 GiB
		[]byte("GET / HTTP/1.1\r\nHost: entry\r\n\r\n"),
		{0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00, 0x01, 0xfc, 0x03, 0x03}, // TLS
	}
}

// FuzzListener writes arbitrary bytes to a connection between processes and checks
// that the process survives, that calls on other connections get their own
// replies, and that the server can be stopped.
func FuzzListener(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > maxInput {
			return
		}
		server := serve(t)
		defer server.stop()
		other := server.newClient()
		defer func() { _ = other.conn.Close() }()
		other.checkCall(t)
		hostile := server.listener.dial()
		defer func() { _ = hostile.Close() }()
		go func() { _, _ = io.Copy(io.Discard, hostile) }()
		_, _ = hostile.Write(input) // the server may have closed the connection
		other.checkCall(t)
	})
}

// FuzzMessage decodes arbitrary bytes as each message type and checks that an
// accepted message is equal after encoding and decoding, so that two processes
// never see different contents in one message.
func FuzzMessage(f *testing.F) {
	messages := []proto.Message{
		&wire.SyncRequest{}, &wire.SyncReply{}, &wire.PartsRequest{}, &wire.PartsReply{}, &wire.ClaimRequest{}, &wire.ClaimReply{},
		&wire.SettleRequest{}, &wire.SettleReply{}, &wire.Attempt{}, &wire.Frame{}, &wire.CancelRequest{}, &wire.CancelReply{},
		&wire.ChunkRequest{}, &wire.ChunkData{}, &wire.HaveRequest{}, &wire.HaveReply{}, &wire.Root{}, &wire.Plan{}, &wire.Manifest{},
	}
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x00, 0x0a, 0x00})
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add(encoded(f, &wire.SyncRequest{From: &wire.Node{Id: "a"}, Hosts: []*wire.HostReport{{Sequence: 1, Prefixes: []uint64{1, 2}}}}))
	f.Add(encoded(f, &wire.Attempt{RequestId: "r", Repeatable: true, ResumeTokens: []string{"a", ""}, Body: []byte{0}}))
	f.Add(encoded(f, &wire.Root{Revision: 1, DeltaBase: 1, Removed: []string{"x"}, Audit: &wire.Audit{Diff: []*wire.Change{{Path: "/"}}}}))
	f.Fuzz(func(t *testing.T, input []byte) {
		for _, kind := range messages {
			first := proto.Clone(kind)
			if proto.Unmarshal(input, first) != nil {
				continue
			}
			second := proto.Clone(kind)
			if err := proto.Unmarshal(encoded(t, first), second); err != nil {
				t.Fatalf("%T: got %v for what was written, want it read", kind, err)
			}
			if !proto.Equal(first, second) {
				t.Fatalf("%T: got %v, want %v", kind, second, first)
			}
		}
	})
}
