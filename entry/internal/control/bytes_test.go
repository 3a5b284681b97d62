package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"comfreyrelay.example/relay/wire"
)

// byteCounter counts the bytes of messages by kind and field, once for each end that
// is an entry: twice between two entries, once between an entry and an agent.
type byteCounter struct {
	mu    sync.Mutex
	bytes map[string]int // by "kind field"
}

func newByteCounter() *byteCounter { return &byteCounter{bytes: map[string]int{}} }

// add counts a message; a nil byteCounter counts nothing.
func (b *byteCounter) add(kind string, ends int, msg proto.Message) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	fields := msg.ProtoReflect()
	fields.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		name := kind + " " + string(field.Name())
		if name := string(field.Name()); name == "hosts" && field.IsList() {
			b.addHostReports(kind, ends, value.List())
			return true
		}
		b.bytes[name] += ends * fieldSize(fields, field, value)
		return true
	})
}

// addHostReports counts the fields of host reports separately.
func (b *byteCounter) addHostReports(kind string, ends int, reports protoreflect.List) {
	for i := range reports.Len() {
		report := reports.Get(i).Message()
		report.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
			b.bytes[kind+" hosts."+string(field.Name())] += ends * fieldSize(report, field, value)
			return true
		})
		b.bytes[kind+" hosts"] += ends * 3 // tag and length
	}
}

// fieldSize returns the encoded size of a single field.
func fieldSize(of protoreflect.Message, field protoreflect.FieldDescriptor, value protoreflect.Value) int {
	alone := of.New()
	alone.Set(field, value)
	return proto.Size(alone.Interface())
}

// sum returns the total bytes of the names with the prefix.
func (b *byteCounter) sum(prefix string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for name, bytes := range b.bytes {
		if strings.HasPrefix(name, prefix) {
			total += bytes
		}
	}
	return total
}

// table lists the 24 largest fields, in bytes per second and entry.
func (b *byteCounter) table(seconds, entries int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := slices.SortedFunc(maps.Keys(b.bytes), func(a, c string) int { return cmp.Compare(b.bytes[c], b.bytes[a]) })
	var lines strings.Builder
	for _, name := range names[:min(len(names), 24)] {
		fmt.Fprintf(&lines, "\n  %7.0f %s", float64(b.bytes[name])/float64(seconds*entries), name)
	}
	return lines.String()
}

// busyReport returns the report of a host that serves requests: its load, prompt
// prefixes and counters change with each report.
func busyReport(node *wire.Node, sequence uint64) *wire.HostReport {
	report := &wire.HostReport{
		Node: node, Sequence: sequence, Endpoint: "engine", EngineRole: "both", Slots: 16,
		Running: uint32(4 + sequence*5%7), Queued: uint32(sequence % 3), TokensPerSecond: 470 + float64(sequence%9)/7,
		TokenGapMillis: 21.5 + float64(sequence%5)/9, OriginBytes: 1 << 30, PeerBytes: 1<<33 + sequence, SentBytes: 1<<32 + sequence,
		Fence: 1 << 20,
		Versions: []*wire.VersionState{{
			Model: "parcel", Version: strings.Repeat("5e", 32), State: "serving", ChunksHave: 1000, ChunksTotal: 1000,
		}},
	}
	for i := range 64 {
		report.Prefixes = append(report.Prefixes, (sequence+uint64(i))*0x9e3779b97f4a7c15)
	}
	return report
}

// TestControlBytesWithBusyHosts limits the bytes per second that an entry sends and
// receives while all hosts are busy. It fails if whole reports are sent to every
// node each time.
func TestControlBytesWithBusyHosts(t *testing.T) {
	const seconds, entries, most = 60, 9, 23000
	for _, agents := range []int{18, 200} {
		for _, changes := range []bool{false, true} {
			runFleet(t, 11, entries, agents, func(f *fleet) {
				f.set(func(f *fleet) { f.busy = true })
				time.Sleep(2 * time.Minute) // by then every node knows all others
				bytes := newByteCounter()
				f.set(func(f *fleet) { f.bytes = bytes })
				for i := range seconds {
					if changes {
						if _, err := f.submit(f.randomEntry(), i%10); err != nil {
							t.Fatal(err)
						}
					}
					time.Sleep(time.Second)
				}
				f.set(func(f *fleet) { f.bytes = nil })
				perEntry := float64(bytes.sum("")) / seconds / entries
				perAgent := float64(bytes.sum("agent")) / seconds / float64(agents)
				// A message between two entries counts at both ends: half in, half out.
				in := (float64(bytes.sum("entry"))/2 + float64(bytes.sum("agent request")+bytes.sum("agent parts request"))) / seconds / entries
				t.Logf("%d agents, changes %t: %.0f B/s an entry both ways (%.0f in, %.0f out), %.0f B/s an agent both ways%s",
					agents, changes, perEntry, in, perEntry-in, perAgent, bytes.table(seconds, entries))
				if perEntry > most {
					t.Errorf("got %.0f B/s an entry with %d agents (changes %t), want at most %d", perEntry, agents, changes, most)
				}
			})
		}
	}
}
