package onsite

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/wire"
)

// repetitiveConfiguration returns a document of many similar routes, as operators write them.
func repetitiveConfiguration(routes int) []byte {
	var text strings.Builder
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h%d.example","path_prefix":"/%x/","kind":"streaming","timeout_ms":6000},`, i*7919, i%7, i*104729)
	}
	return []byte(text.String())
}

// Guards against followers that get configurations late because these are sent uncompressed
// although they are highly repetitive. Configurations of 346 KB came every 1.5 s; two entries of
// the region read each from the store and sent it to nine others, 3 MB over a link of 40 Mbit/s.
// Entries that got it late read the store too, over the link between regions. Requests were
// handled with configurations 3 to 5 s old, and revoked keys were accepted for as long.
func TestConfigurationsAreSentCompressed(t *testing.T) {
	value := repetitiveConfiguration(3000)
	source := newReplica()
	source.mirror.Apply(0, []kv.Entry{kv.NewEntry("config", value, 1, false), kv.NewEntry("host", []byte("small"), 2, false)}, 2, true)
	server := &newsServer{state: source.state, mirror: source.mirror}
	changes, _ := source.mirror.Since(0)
	sent, plain := 0, 0
	follower := newReplica()
	reader := &newsReader{state: follower.state, mirror: follower.mirror}
	for _, reply := range server.buildReplies(changes) {
		for _, stored := range reply.GetChanges() {
			sent += len(stored.GetValue()) + len(stored.GetPacked())
			plain += len(stored.GetValue())
		}
		if !reader.receive(reply) {
			t.Fatal("got a reply rejected, want it applied")
		}
	}
	if limit := len(value) / 5; sent > limit {
		t.Errorf("got %d bytes for a configuration of %d, want %d at most", sent, len(value), limit)
	}
	if got, want := plain, len("small"); got != want {
		t.Errorf("got %d uncompressed bytes, want %d", got, want)
	}
	entries, _ := follower.mirror.Since(0)
	for i, entry := range entries.Entries {
		if !bytes.Equal(entry.Value(), changes.Entries[i].Value()) {
			t.Errorf("got a different value under %s, want the value of the source", entry.Key())
		}
	}
}

func TestValueIsCompressedOnce(t *testing.T) {
	var once compressor
	first := once.compress(kv.NewEntry("config", repetitiveConfiguration(100), 1, false))
	if again := once.compress(kv.NewEntry("config", repetitiveConfiguration(100), 1, false)); &again[0] != &first[0] {
		t.Error("got the value compressed again, want the cached result")
	}
	if newer := once.compress(kv.NewEntry("config", repetitiveConfiguration(200), 2, false)); bytes.Equal(newer, first) {
		t.Error("got an older value, want the newer one")
	}
	for i := range 3 * maxCachedValues {
		once.compress(kv.NewEntry(fmt.Sprint("report-", i), repetitiveConfiguration(100), 3, false))
	}
	if got := len(once.cache); got > maxCachedValues {
		t.Errorf("got %d cached values, want %d at most", got, maxCachedValues)
	}
}

// A value that cannot be decompressed, or is too large when decompressed, is treated like missing
// changes.
func TestCorruptCompressedValueIsRejected(t *testing.T) {
	whole := deflate(repetitiveConfiguration(100))
	for name, packed := range map[string][]byte{
		"cut": whole[:len(whole)/2], "garbage": []byte("not compressed"), "too large": deflate(make([]byte, maxDecompressedBytes+1)),
	} {
		k := newReplica()
		reader := &newsReader{state: k.state, mirror: k.mirror}
		reply := &wire.NewsReply{Revision: 1, Changes: []*wire.StoredValue{{Key: "config", Packed: packed, Revision: 1}}}
		if reader.receive(reply) || k.mirror.Revision() != 0 {
			t.Errorf("%s: got the reply applied, want it rejected", name)
		}
	}
}
