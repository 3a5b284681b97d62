package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/hostlist"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/revision"
	"comfreyrelay.example/relay/wire"
)

// published is an accepted document, split into its root and parts.
type published struct {
	root  *wire.Root
	parts map[string][]byte
}

func publish(number uint32, customers int) published {
	doc := &wire.Document{Objective: "time", OriginCopies: 1}
	for i := range customers {
		doc.Customers = append(doc.Customers, &wire.Customer{Name: fmt.Sprintf("c%d-%d", number, i)})
	}
	pieces := document.Split(document.Canonical(doc))
	out := published{parts: map[string][]byte{}}
	parts := document.Parts(pieces)
	out.root = &wire.Root{Revision: number, Parts: parts, Audit: &wire.Audit{ContentHash: document.ContentHash(parts)}}
	for _, piece := range pieces {
		out.parts[piece.Part().GetHash()] = piece.Bytes()
	}
	return out
}

func (p published) fetch(_ context.Context, hashes []string) ([][]byte, error) {
	var contents [][]byte
	for _, hash := range hashes {
		contents = append(contents, p.parts[hash])
	}
	return contents, nil
}

func (p published) reply() *wire.SyncReply {
	return &wire.SyncReply{Root: p.root, Known: &wire.Known{Revision: p.root.GetRevision()}}
}

// Guards against reverting to an older document or plan by applying replies in
// order of arrival. Entries with newer and older revisions reply in any order,
// with full roots and deltas, some with a missing or wrong part.
func TestRevisionNeverFalls(t *testing.T) {
	documents := []published{}
	for number := range uint32(5) {
		documents = append(documents, publish(number+1, int(number)+1))
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		known := newKnowledge(now)
		highest, highestPlan := uint32(0), uint32(0)
		for range rapid.IntRange(1, 30).Draw(t, "replies") {
			doc := rapid.SampledFrom(documents).Draw(t, "document")
			reply := doc.reply()
			if base := known.state.Root(); base != nil && rapid.Bool().Draw(t, "difference") {
				reply.Root = revision.Delta(base, doc.root)
			}
			plan := rapid.Uint32Range(0, 5).Draw(t, "plan")
			reply.Plan = &wire.Plan{PlanRevision: plan}
			fetch := doc.fetch
			whole := true
			switch rapid.SampledFrom([]string{"whole", "whole", "missing", "wrong", "fails"}).Draw(t, "parts") {
			case "missing":
				whole, fetch = false, func(context.Context, []string) ([][]byte, error) { return nil, nil }
			case "wrong":
				whole, fetch = false, func(_ context.Context, hashes []string) ([][]byte, error) {
					return slices.Repeat([][]byte{[]byte("wrong")}, len(hashes)), nil
				}
			case "fails":
				whole, fetch = false, func(context.Context, []string) ([][]byte, error) { return nil, errors.New("broken") }
			}
			_, err := known.adopt(context.Background(), reply, now, fetch)
			if whole && err != nil {
				t.Fatalf("adopt failed: %v", err)
			}
			snap := known.snapshot(now)
			if snap.Revision < highest || snap.PlanRevision < highestPlan {
				t.Fatalf("in force fell from %d/%d to %d/%d", highest, highestPlan, snap.Revision, snap.PlanRevision)
			}
			if whole && snap.Revision < doc.root.GetRevision() {
				t.Fatalf("got revision %d in force after %d was offered whole", snap.Revision, doc.root.GetRevision())
			}
			if got, want := len(snap.Document.GetCustomers()), int(snap.Revision); got != want {
				t.Fatalf("got %d customers in revision %d, want %d", got, snap.Revision, want)
			}
			highest, highestPlan = snap.Revision, snap.PlanRevision
		}
	})
}

// Guards against two hosts holding different content for one revision. An entry
// sends different content under the current revision number, which a comparison
// by number alone would miss.
func TestContradictionIsNamed(t *testing.T) {
	now := time.Unix(1000, 0)
	known := newKnowledge(now)
	first, other := publish(3, 1), publish(3, 2)
	if _, err := known.adopt(t.Context(), first.reply(), now, first.fetch); err != nil {
		t.Fatal(err)
	}
	_, err := known.adopt(t.Context(), other.reply(), now, other.fetch)
	if got, want := failure.KindOf(err), failure.Internal; err == nil || got != want {
		t.Errorf("got %v, want an error of kind %s", err, want)
	}
	if got, want := len(known.snapshot(now).Document.GetCustomers()), 1; got != want {
		t.Errorf("got %d customers in force, want %d", got, want)
	}
}

// Guards against applying a document that was never submitted. A root lacks a part
// while each remaining part is valid, or is a delta from a root with different
// content; checking the parts only one by one would miss this.
func TestRootIsCheckedAsAWhole(t *testing.T) {
	now := time.Unix(1000, 0)
	known := newKnowledge(now)
	doc := publish(3, 1)
	doc.root.Parts = doc.root.GetParts()[1:]
	if _, err := known.adopt(t.Context(), doc.reply(), now, doc.fetch); failure.KindOf(err) != failure.Corrupt {
		t.Errorf("got %v, want an error of kind %s", err, failure.Corrupt)
	}
	if got := known.snapshot(now).Revision; got != 0 {
		t.Errorf("got revision %d in force, want 0", got)
	}
}

// An entry that was started during an outage and has an older document is sent
// the current one.
func TestOfferToEntryThatKnowsLess(t *testing.T) {
	now := time.Unix(1000, 0)
	known := newKnowledge(now)
	doc := publish(3, 1)
	if _, err := known.adopt(t.Context(), doc.reply(), now, doc.fetch); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		known *wire.Known
		want  bool
	}{
		{nil, false},
		{&wire.Known{Revision: 3}, false},
		{&wire.Known{Revision: 2}, true},
	} {
		root, parts := known.offer(tc.known)
		if got := root != nil; got != tc.want {
			t.Errorf("known %v: got an offer %v, want %v", tc.known, got, tc.want)
		}
		if got, want := len(parts), len(root.GetParts()); got != want {
			t.Errorf("known %v: got %d parts, want %d", tc.known, got, want)
		}
	}
}

func TestCandidates(t *testing.T) {
	self := &wire.Node{Id: "h1", Region: "r1", FailureDomain: "d1"}
	var entries []*wire.Node
	for _, line := range []string{"a r1 d1", "b r1 d1", "c r1 d2", "d r2 d3", "e r1 d1"} {
		words := strings.Fields(line)
		entries = append(entries, &wire.Node{Id: words[0], Region: words[1], FailureDomain: words[2], ControlAddress: "127.0.0.1:1"})
	}
	entries = append(entries, &wire.Node{Id: "no-address", Region: "r1", FailureDomain: "d1"})
	ids := func(avoided ...string) string {
		var list []string
		for _, node := range candidates(self, entries, func(id string) bool { return slices.Contains(avoided, id) }) {
			list = append(list, node.GetId())
		}
		return strings.Join(list, " ")
	}
	all := ids()
	if near, far := all[:5], all[6:]; strings.ContainsAny(near, "cd") || far != "c d" {
		t.Errorf("got order %q, want a, b and e, then c, then d", all)
	}
	home := all[:1]
	if got := ids(home); !strings.HasSuffix(got, home) || got[:3] != all[2:5] {
		t.Errorf("got order %q without the home of %q, want the others unchanged and the home last", got, all)
	}
}

// Guards against a serving host stopping because of a wrong host list. The list
// marks the host as leaving, then is empty, then marks it as live; an empty list
// must not change the state.
func TestLeavingByList(t *testing.T) {
	now := time.Unix(1000, 0)
	known := newKnowledge(now)
	listed := func(state string) []membership.Listed {
		return []membership.Listed{{Node: &wire.Node{Id: "h1", Role: "agent"}, State: state}}
	}
	for _, tc := range []struct {
		list []membership.Listed
		want bool
	}{
		{listed("live"), false}, {listed("leaving"), true}, {nil, true}, {listed("live"), false}, {nil, false},
	} {
		known.observeList(tc.list, now)
		if got := known.leaving("h1"); got != tc.want {
			t.Errorf("list %v: got leaving %v, want %v", tc.list, got, tc.want)
		}
	}
	known.state.AdoptDrains(&wire.DrainMarks{Revision: 1, Hosts: []string{"h1"}})
	if !known.leaving("h1") {
		t.Error("got a host in use that an operator took out")
	}
}

func TestPenaltiesGrowAndEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newPenalties()
	for range 20 {
		list.add("e1", now)
	}
	if got, want := list.until["e1"].Sub(now), maxPenalty; got != want {
		t.Errorf("got a penalty of %v, want %v", got, want)
	}
	list.clear("e1")
	if list.active("e1", now) {
		t.Error("got a penalty after an answer")
	}
}

func FuzzHostList(f *testing.F) {
	f.Add(`{"hosts":[{"id":"h1","role":"agent","state":"live","controlAddress":"127.0.0.1:1"}]}`)
	f.Add(`{"hosts":[{"id":""}]}`)
	f.Add(`{"hosts":null}`)
	f.Add(`[`)
	f.Fuzz(func(_ *testing.T, text string) {
		listed, err := hostlist.Parse(strings.NewReader(text))
		if err != nil {
			return
		}
		known := newKnowledge(time.Unix(0, 0))
		known.observeList(listed, time.Unix(0, 0))
		known.leaving("h1")
		known.agents("h1", time.Unix(0, 0))
		nodes, _ := known.entries(time.Unix(0, 0))
		candidates(&wire.Node{Id: "h1"}, nodes, func(string) bool { return false })
	})
}
