package rendezvous

import (
	"fmt"
	"testing"
)

func nodes(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("host-%03d", i))
	}
	return all
}

func TestTopSpreadsKeysEvenly(t *testing.T) {
	const keys, hosts = 20000, 20
	first := map[string]int{}
	for i := range keys {
		first[Top(fmt.Sprintf("key-%d", i), nodes(hosts), 1)[0]]++
	}
	for node, got := range first {
		if want := keys / hosts; got < want*8/10 || got > want*12/10 {
			t.Errorf("%s ranks first for %d keys, want about %d", node, got, want)
		}
	}
}

func TestTopMovesOnlyKeysOfNodeThatLeft(t *testing.T) {
	all := nodes(20)
	for i := range 500 {
		key := fmt.Sprintf("key-%d", i)
		before := Top(key, all, 2)
		after := Top(key, all[1:], 1)[0]
		want := before[0]
		if want == all[0] {
			want = before[1]
		}
		if after != want {
			t.Fatalf("%s: got %s first, want %s", key, after, want)
		}
	}
}

func TestRankIsThePlaceInTop(t *testing.T) {
	all := nodes(30)
	for place, node := range Top("key", all, len(all)) {
		if got := Rank("key", node, all); got != place {
			t.Errorf("%s: got rank %d, want %d", node, got, place)
		}
	}
}
