package catalog_test

import (
	"fmt"
	"testing"

	"comfreyrelay.example/relay/catalog"
)

func TestSharesFollowWeightsAndAreStablePerRequest(t *testing.T) {
	route := catalog.Route{Shares: []catalog.Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	counts := map[string]int{}
	for i := range 2000 {
		id := fmt.Sprintf("request-%d", i)
		first := route.Service(id)
		if second := route.Service(id); second != first {
			t.Fatalf("got %s and %s for one request, want one service", first, second)
		}
		counts[first]++
	}
	if got := counts["new"]; got < 140 || got > 260 {
		t.Errorf("got %d of 2000 at the share of a tenth, want about 200", got)
	}
}

func TestServiceWithUnresumableStreamIsNotResumable(t *testing.T) {
	cat := catalog.New(catalog.Spec{Routes: []catalog.Route{
		{Name: "a", Host: "h", Prefix: "/a/", Kind: catalog.Stream, Resumable: true, Shares: []catalog.Share{{Service: "x"}}},
		{Name: "b", Host: "h", Prefix: "/b/", Kind: catalog.Stream, Shares: []catalog.Share{{Service: "y"}}},
	}})
	if !cat.Resumable("x") || cat.Resumable("y") {
		t.Errorf("got resumable %v and %v, want true and false", cat.Resumable("x"), cat.Resumable("y"))
	}
	if _, ok := cat.Match("other", "/a/"); ok {
		t.Errorf("got a route of another host")
	}
	if _, ok := cat.Match("h", "/a"); ok {
		t.Errorf("got a route without the prefix's last slash")
	}
}
