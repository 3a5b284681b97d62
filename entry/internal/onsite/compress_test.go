package onsite

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/wire"
)

// configuration is a document of many routes that are much alike, as operators write them.
func repetitiveConfiguration(routes int) []byte {
	var text strings.Builder
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h%d.example","path_prefix":"/%x/","kind":"streaming","timeout_ms":6000},`, i*7919, i%7, i*104729)
	}
	return []byte(text.String())
}

// Symptom: entries of a region handle requests by a configuration 3 to 5 s old, and keys that were
// taken away open routes for as long. Sequence: configurations of 346 KB come each 1.5 s; two
// entries of the region read each from the store and send it to nine others, 3 MB over a link
// of 40 Mbit/s; an entry that gets it late asks the store too, over the link between regions. Cause: a
// configuration went to each follower as it is, though it repeats itself nearly everywhere.
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
		for _, one := range reply.GetChanges() {
			sent += len(one.GetValue()) + len(one.GetPacked())
			plain += len(one.GetValue())
		}
		if !reader.receive(reply) {
			t.Fatal("got a reply refused, want it taken over")
		}
	}
	if most := len(value) / 5; sent > most {
		t.Errorf("got %d bytes for a configuration of %d, want %d at most", sent, len(value), most)
	}
	if got, want := plain, len("small"); got != want {
		t.Errorf("got %d bytes as they are, want %d", got, want)
	}
	entries, _ := follower.mirror.Since(0)
	for i, entry := range entries.Entries {
		if !bytes.Equal(entry.Value(), changes.Entries[i].Value()) {
			t.Errorf("got another value under %s, want the one that the source has", entry.Key())
		}
	}
}

func TestValueIsCompressedOnce(t *testing.T) {
	var once compressor
	first := once.compress(kv.NewEntry("config", repetitiveConfiguration(100), 1, false))
	if again := once.compress(kv.NewEntry("config", repetitiveConfiguration(100), 1, false)); &again[0] != &first[0] {
		t.Error("got it compressed anew, want what was made before")
	}
	if newer := once.compress(kv.NewEntry("config", repetitiveConfiguration(200), 2, false)); bytes.Equal(newer, first) {
		t.Error("got an older value, want the newer one")
	}
	for i := range 3 * maxCachedValues {
		once.compress(kv.NewEntry(fmt.Sprint("report-", i), repetitiveConfiguration(100), 3, false))
	}
	if got := len(once.cache); got > maxCachedValues {
		t.Errorf("got %d values kept, want %d at most", got, maxCachedValues)
	}
}

// What can't be read, or grows beyond all bounds, is taken for a source that leaves something out.
func TestCorruptCompressedValueIsRejected(t *testing.T) {
	whole := deflate(repetitiveConfiguration(100))
	for name, packed := range map[string][]byte{
		"cut": whole[:len(whole)/2], "garbage": []byte("not compressed"), "too large": deflate(make([]byte, maxDecompressedBytes+1)),
	} {
		k := newReplica()
		reader := &newsReader{state: k.state, mirror: k.mirror}
		reply := &wire.NewsReply{Revision: 1, Changes: []*wire.StoredValue{{Key: "config", Packed: packed, Revision: 1}}}
		if reader.receive(reply) || k.mirror.Revision() != 0 {
			t.Errorf("%s: got it taken over, want it refused", name)
		}
	}
}
