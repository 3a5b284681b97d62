package peer

import (
	"context"
	"expvar"
	"net"
	"strings"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"

	"comfreyrelay.example/relay/wire"
)

// Traffic between this process and others, by call; the keys are "controlSync",
// "hostRun" and so on. The bytes by call are those of the encoded messages. The
// drpc frames (5 to 10 bytes each, and the call's name once), TLS records and TLS
// handshakes count only in the totals of all connections. TCP and IP headers are
// not counted.
var (
	callsMade   = expvar.NewMap("peerCallsMade")
	callsServed = expvar.NewMap("peerCallsServed")
	bytesIn     = expvar.NewMap("peerBytesIn")
	bytesOut    = expvar.NewMap("peerBytesOut")
	// connectionBytesIn and connectionBytesOut count the bytes on TCP
	// connections, including TLS.
	connectionBytesIn  = expvar.NewInt("peerConnectionBytesIn")
	connectionBytesOut = expvar.NewInt("peerConnectionBytesOut")
)

// traffic counts the messages of one call. It wraps the call's encoding, which
// processes every message once.
type traffic struct {
	encoding              drpc.Encoding
	made, served, in, out *expvar.Int
}

// trafficByCall holds the counters of each call that package wire defines. The mux
// refuses unknown calls. They are not counted, so that a peer cannot exhaust the
// memory with invented names.
var trafficByCall = newTrafficByCall(wire.DRPCControlDescription{}, wire.DRPCHostDescription{})

func newTrafficByCall(services ...drpc.Description) map[string]*traffic {
	byCall := map[string]*traffic{}
	for _, service := range services {
		for n := range service.NumMethods() {
			call, encoding, _, _, ok := service.Method(n)
			if !ok {
				continue
			}
			name := callName(call)
			byCall[call] = &traffic{
				encoding: encoding,
				made:     publish(callsMade, name),
				served:   publish(callsServed, name),
				in:       publish(bytesIn, name),
				out:      publish(bytesOut, name),
			}
		}
	}
	return byCall
}

func publish(all *expvar.Map, name string) *expvar.Int {
	count := new(expvar.Int)
	all.Set(name, count)
	return count
}

// callName turns "/comfreyrelay.wire.Host/Run" into "hostRun".
func callName(call string) string {
	service, method, _ := strings.Cut(strings.TrimPrefix(call, "/"), "/")
	service = service[strings.LastIndexByte(service, '.')+1:]
	return strings.ToLower(service[:1]) + service[1:] + method
}

// Marshal encodes an outgoing message and counts its bytes.
func (t *traffic) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := t.encoding.Marshal(msg)
	t.out.Add(int64(len(data)))
	return data, err
}

// MarshalAppend saves drpc a copy, as in the generated encodings.
func (t *traffic) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	data, err := drpcenc.MarshalAppend(msg, t.encoding, buf)
	t.out.Add(int64(max(0, len(data)-len(buf))))
	return data, err
}

// Unmarshal decodes an incoming message and counts its bytes.
func (t *traffic) Unmarshal(buf []byte, msg drpc.Message) error {
	t.in.Add(int64(len(buf)))
	return t.encoding.Unmarshal(buf, msg)
}

// meteredConn counts the calls made over a connection and their messages.
type meteredConn struct{ drpc.Conn }

func (c meteredConn) Invoke(ctx context.Context, call string, enc drpc.Encoding, in, out drpc.Message) error {
	if count := trafficByCall[call]; count != nil {
		count.made.Add(1)
		enc = count
	}
	return c.Conn.Invoke(ctx, call, enc, in, out)
}

func (c meteredConn) NewStream(ctx context.Context, call string, enc drpc.Encoding) (drpc.Stream, error) {
	count := trafficByCall[call]
	if count == nil {
		return c.Conn.NewStream(ctx, call, enc)
	}
	count.made.Add(1)
	stream, err := c.Conn.NewStream(ctx, call, count)
	if err != nil {
		return nil, err
	}
	return meteredStream{stream, count}, nil
}

// meteredStream counts the messages of one call.
type meteredStream struct {
	drpc.Stream

	count *traffic
}

func (s meteredStream) MsgSend(msg drpc.Message, _ drpc.Encoding) error {
	return s.Stream.MsgSend(msg, s.count)
}

func (s meteredStream) MsgRecv(msg drpc.Message, _ drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, s.count)
}

// meteredHandler counts the calls served and their messages.
type meteredHandler struct{ drpc.Handler }

func (h meteredHandler) HandleRPC(stream drpc.Stream, call string) error {
	if count := trafficByCall[call]; count != nil {
		count.served.Add(1)
		stream = meteredStream{stream, count}
	}
	return h.Handler.HandleRPC(stream, call)
}

// meteredTransport counts the bytes of one connection, including TLS.
type meteredTransport struct{ net.Conn }

func (t meteredTransport) Read(buf []byte) (int, error) {
	n, err := t.Conn.Read(buf)
	connectionBytesIn.Add(int64(n))
	return n, err
}

func (t meteredTransport) Write(buf []byte) (int, error) {
	n, err := t.Conn.Write(buf)
	connectionBytesOut.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes of the connections that it accepts.
type meteredListener struct{ net.Listener }

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredTransport{conn}, nil
}
