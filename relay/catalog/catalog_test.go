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

// Guards against requests without a key that run in a customer's name because one of the customer's
// keys is blank.
func TestBlankKeyBelongsToNobody(t *testing.T) {
	cat := catalog.New(catalog.Spec{Customers: []catalog.Customer{{Name: "a", Keys: []string{"", "k1"}}}})
	if customer, ok := cat.Customer(""); ok {
		t.Errorf("got customer %s for a blank key, want none", customer.Name)
	}
	if _, ok := cat.Customer("k1"); !ok {
		t.Error("got no customer for k1, want the one that holds it")
	}
}
