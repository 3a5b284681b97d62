package limit

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// TestQueue runs the scripts in testdata/queue. Times are in seconds.
func TestQueue(t *testing.T) {
	datadriven.Walk(t, "testdata/queue", func(t *testing.T, path string) {
		queue := NewQueue(6)
		names := make(map[*Item]string)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "push":
				return runPush(t, d, queue, names)
			case "next":
				return runNext(t, d, queue, names)
			case "expired":
				var at int
				d.ScanArgs(t, "at", &at)
				var expired []string
				for _, item := range queue.Expired(testStart.Add(time.Duration(at) * time.Second)) {
					expired = append(expired, names[item])
				}
				return fmt.Sprintf("%s; %d wait\n", strings.Join(expired, " "), queue.Len())
			case "ahead":
				weight := 1.0
				d.MaybeScanArgs(t, "weight", &weight)
				return fmt.Sprintf("%.1f\n", queue.Ahead(d.CmdArgs[0].Key, weight))
			default:
				return "unknown command\n"
			}
		})
	})
}

// runPush pushes the requests of one customer: "push <customer> n=2 weight=1
// cost=1 deadline=9".
func runPush(t *testing.T, d *datadriven.TestData, queue *Queue, names map[*Item]string) string {
	count, deadline, weight, cost := 1, 1000, 1.0, 1.0
	d.MaybeScanArgs(t, "n", &count)
	d.MaybeScanArgs(t, "deadline", &deadline)
	d.MaybeScanArgs(t, "weight", &weight)
	d.MaybeScanArgs(t, "cost", &cost)
	customer := d.CmdArgs[0].Key
	var out strings.Builder
	for range count {
		item := &Item{Customer: customer, Weight: weight, Cost: cost, Deadline: testStart.Add(time.Duration(deadline) * time.Second)}
		names[item] = fmt.Sprintf("%s%d", customer, len(names))
		if dropped := queue.Push(item); dropped != nil {
			fmt.Fprintf(&out, "dropped %s\n", names[dropped])
		}
	}
	fmt.Fprintf(&out, "%d wait, cost %.1f\n", queue.Len(), queue.Cost())
	return out.String()
}

// runNext takes n requests; those of the customer in "full" cannot be placed.
func runNext(t *testing.T, d *datadriven.TestData, queue *Queue, names map[*Item]string) string {
	count, full := 1, ""
	d.MaybeScanArgs(t, "n", &count)
	d.MaybeScanArgs(t, "full", &full)
	var served []string
	for range count {
		item := queue.Next(func(item *Item) bool { return item.Customer != full })
		if item == nil {
			served = append(served, "none")
			break
		}
		served = append(served, names[item])
	}
	return fmt.Sprintf("%s; %d wait\n", strings.Join(served, " "), queue.Len())
}

// Guards against a small customer that waits behind a large one's burst. However long the other
// queues are, it waits for at most one request of each other customer.
func TestSmallCustomerWaitsForAtMostOneRequestOfEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := NewQueue(1000)
		others := rapid.IntRange(1, 8).Draw(t, "others")
		for i := range others {
			weight := rapid.Float64Range(0.1, 10).Draw(t, "weight")
			for range rapid.IntRange(1, 40).Draw(t, "burst") {
				queue.Push(&Item{Customer: fmt.Sprintf("other-%d", i), Weight: weight, Cost: 1})
			}
		}
		accept := func(*Item) bool { return true }
		for range rapid.IntRange(0, 50).Draw(t, "served before") {
			queue.Next(accept)
		}
		waiting := queue.Len()
		queue.Push(&Item{Customer: "small", Weight: 1, Cost: 1})
		before := 0
		for item := queue.Next(accept); item.Customer != "small"; item = queue.Next(accept) {
			before++
		}
		if bound := min(others, waiting); before > bound {
			t.Fatalf("got %d requests before the small customer's, want at most %d", before, bound)
		}
	})
}

// Checks that the shares that entries compute from the same reports add up to the whole limit and
// that every entry gets one.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := make(map[string]float64)
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			demand[fmt.Sprintf("e%d", i)] = rapid.Float64Range(0, 1000).Draw(t, "demand")
		}
		sum := 0.0
		for entry := range demand {
			share := Share(entry, demand)
			sum += share
			if floor := 1 / (3 * float64(len(demand))); share < floor-1e-9 {
				t.Fatalf("got share %f, want at least %f", share, floor)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("got a sum of %f, want 1", sum)
		}
	})
}

func TestBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket Bucket
		rate := rapid.Float64Range(0.5, 100).Draw(t, "rate")
		now, taken := testStart, 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			cost := rapid.Float64Range(0.1, 300).Draw(t, "cost")
			ok, wait := bucket.Take(now, rate, cost)
			if ok {
				taken += cost
			} else {
				now = now.Add(wait)
				if ok, _ = bucket.Take(now, rate, cost); !ok {
					t.Fatalf("got refused after the wait of %v, want it taken", wait)
				}
				taken += cost
			}
			// One burst, plus the debt of the last cost taken.
			if bound := rate*now.Sub(testStart).Seconds() + max(1, rate) + 300; taken > bound+1e-6 {
				t.Fatalf("got %f units, want at most %f", taken, bound)
			}
		}
	})
}

func TestLargeCustomers(t *testing.T) {
	cases := []struct {
		name string
		uses map[string]Use
		want string
	}{
		{"alone", map[string]Use{"a": {1, 100}, "b": {1, 0}}, ""},
		{"even", map[string]Use{"a": {1, 10}, "b": {1, 10}, "c": {1, 15}}, ""},
		{"greedy", map[string]Use{"a": {1, 100}, "b": {1, 10}, "c": {1, 10}}, "a"},
		{"greedy beside one", map[string]Use{"a": {1, 100}, "b": {1, 10}}, "a"},
		{"large by right", map[string]Use{"a": {8, 100}, "b": {1, 10}, "c": {1, 10}}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := LargeCustomers(test.uses)
			if got[test.want] != (test.want != "") || len(got) > 1 {
				t.Errorf("got %v, want %q", got, test.want)
			}
		})
	}
}
