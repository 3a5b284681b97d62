package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now := time.Unix(0, 0)
		mem := NewMemory(Limits{Retention: time.Minute, Requests: 16}, now)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var id string
			var number, seconds, count int
			d.MaybeScanArgs(t, "id", &id)
			d.MaybeScanArgs(t, "attempt", &number)
			d.MaybeScanArgs(t, "seconds", &seconds)
			d.MaybeScanArgs(t, "count", &count)
			switch d.Cmd {
			case "restart":
				mem = NewMemory(Limits{Retention: time.Minute, Requests: 16}, now)
				return ""
			case "begin":
				return fmt.Sprintln(mem.Begin(ParseID(id), uint32(number), !d.HasArg("once")))
			case "end":
				return fmt.Sprintln(mem.End(ParseID(id), uint32(number), !d.HasArg("unrun")))
			case "cancel":
				state, stored := mem.Cancel(ParseID(id), uint32(number))
				return fmt.Sprintf("%v, stored %v\n", state, stored)
			case "awake":
				for range seconds {
					now = now.Add(time.Second)
					mem.Step(now)
				}
				return fmt.Sprintf("%d remembered\n", mem.Len())
			case "paused":
				now = now.Add(time.Duration(seconds) * time.Second)
				mem.Step(now)
				return fmt.Sprintf("%d remembered\n", mem.Len())
			case "fill":
				for i := range count {
					mem.Cancel(ParseID(fmt.Sprintf("fill-%d", i)), 0)
				}
				return fmt.Sprintf("%d remembered\n", mem.Len())
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// referenceMemory is the simplest correct memory: it forgets nothing.
type referenceMemory struct {
	begun, ended, refused, buried map[string]bool
}

// A request that is not repeatable must not run twice, and an attempt reported as not
// run must not run later. The memory could fail at this by forgetting, or by mistaking
// one attempt for another, when duplicate and late deliveries, cancels, ends and waits
// come in any order within the retention.
func TestMemoryAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		mem := NewMemory(Limits{Retention: time.Hour, Requests: 64}, now)
		ref := referenceMemory{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
		ran := map[string]int{} // attempts of a request that may have run
		nonRepeatable := map[string]bool{"a": true, "b": true, "c": false}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			number := rapid.Uint32Range(0, 3).Draw(t, "attempt")
			key := fmt.Sprint(id, "/", number)
			running := ref.begun[key] && !ref.ended[key] && !ref.refused[key]
			switch rapid.SampledFrom([]string{"begin", "begin", "end", "cancel", "wait"}).Draw(t, "event") {
			case "begin":
				verdict := mem.Begin(ParseID(id), number, !nonRepeatable[id])
				if verdict != Begin {
					if verdict != Duplicate && verdict != RefusedBefore && verdict != Tombstone {
						continue
					}
					if !ref.begun[key] && !ref.buried[key] {
						t.Fatalf("%s: got verdict %v for an attempt never delivered", key, verdict)
					}
					continue
				}
				if ref.begun[key] || ref.buried[key] {
					t.Fatalf("%s began although it had begun or was cancelled", key)
				}
				if nonRepeatable[id] && ran[id] > 0 {
					t.Fatalf("%s began although the request may have run", key)
				}
				ref.begun[key] = true
				ran[id]++
			case "end":
				provedUnrun := rapid.Bool().Draw(t, "unrun")
				if got, want := mem.End(ParseID(id), number, !provedUnrun), running; got != want {
					t.Fatalf("end of %s: got %v, want %v", key, got, want)
				}
				if !running {
					continue
				}
				ref.ended[key], ref.refused[key] = !provedUnrun, provedUnrun
				if provedUnrun {
					ran[id]--
				}
			case "cancel":
				state, stored := mem.Cancel(ParseID(id), number)
				if !stored {
					t.Fatalf("cancel of %s was not stored", key)
				}
				if unrun := state == Tombstoned || state == Refused; unrun == (running || ref.ended[key]) {
					t.Fatalf("cancel of %s returned %v, running %v, ended %v", key, state, running, ref.ended[key])
				}
				if state == Tombstoned {
					ref.buried[key] = true
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
				mem.Step(now)
			}
			if violation := mem.Check(ParseID(id)); violation != "" {
				t.Fatalf("%s: %s", key, violation)
			}
		}
	})
}

func BenchmarkMemory(b *testing.B) {
	now := time.Unix(0, 0)
	mem := NewMemory(Limits{Retention: time.Hour, Requests: 1 << 30}, now)
	b.ReportAllocs()
	id := ID{}
	for i := range b.N {
		id[0], id[1], id[2], id[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
		mem.Begin(id, 1, false)
		mem.End(id, 1, true)
	}
}
