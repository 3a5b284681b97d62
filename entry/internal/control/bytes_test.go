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

// tally counts the bytes of messages by kind and field, as their ends see them:
// a message between two entries counts twice, one with an agent once.
type byteCounter struct {
	mu    sync.Mutex
	bytes map[string]int // by "kind field"
}

func newByteCounter() *byteCounter { return &byteCounter{bytes: map[string]int{}} }

// add counts a message; a nil tally counts nothing.
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

// addReports counts the fields of host reports.
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

// fieldSize returns the encoded size of one field alone.
func fieldSize(of protoreflect.Message, field protoreflect.FieldDescriptor, value protoreflect.Value) int {
	alone := of.New()
	alone.Set(field, value)
	return proto.Size(alone.Interface())
}

// sum returns the bytes of the kinds that begin with the prefix.
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

// table lists what takes most, in bytes a second for each of the entries.
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

// workingReport is a report as a host that serves makes it: its load moves with
// each report, its prompt prefixes and counters do too.
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

// TestWorkingBytes: what an entry sends and receives in a second while all its
// hosts work. A report that goes whole to everybody each time would show here.
func TestControlBytesWithBusyHosts(t *testing.T) {
	const seconds, entries, most = 60, 9, 23000
	for _, agents := range []int{18, 200} {
		for _, changes := range []bool{false, true} {
			runFleet(t, 11, entries, agents, func(f *fleet) {
				f.set(func(f *fleet) { f.busy = true })
				time.Sleep(2 * time.Minute) // each has learned of all by then
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
				// Between two entries each message counts at both ends: half in, half out.
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
