package load

import (
	"slices"
	"testing"
	"time"

	"comfreyrelay.example/standin/internal/answer"
)

func planned(options Options) []request {
	var all []request
	for requests := newPlan(options); ; {
		one, more := requests.next()
		if !more {
			return all
		}
		all = append(all, one)
	}
}

func planOptions() Options {
	return Options{
		Customers:     []Customer{{Name: "large", Share: 9}, {Name: "small", Share: 1}},
		Callers:       4,
		Services:      []Target{{Name: "customs", Fraction: 0.1}},
		Rate:          100,
		Time:          100 * time.Second,
		Seed:          5,
		MaxTokens:     8,
		PromptBytes:   200,
		PromptGroups:  4,
		NonRepeatable: 0.2,
		Stream:        0.5,
		DoubleSend:    0.5,
	}
}

func TestPlanIsFixedByItsSeed(t *testing.T) {
	one, again := planned(planOptions()), planned(planOptions())
	if !slices.Equal(one, again) {
		t.Error("the same seed: got two plans, want one")
	}
	other := planOptions()
	other.Seed = 6
	if slices.Equal(one, planned(other)) {
		t.Error("another seed: got the same plan, want another")
	}
}

func TestPlanKeepsItsFractions(t *testing.T) {
	options := planOptions()
	all := planned(options)
	count := func(is func(request) bool) float64 {
		found := 0
		for _, one := range all {
			if is(one) {
				found++
			}
		}
		return float64(found) / float64(len(all))
	}
	tests := []struct {
		name      string
		got, want float64
	}{
		{"arrivals per planned arrival", float64(len(all)) / (options.Rate * options.Time.Seconds()), 1},
		{"small customer", count(func(one request) bool { return one.customer == 1 }), 0.1},
		{"services", count(func(one request) bool { return one.service == "customs" }), 0.1},
		{"not repeatable", count(func(one request) bool { return !one.repeatable }), 0.2},
		{"sent twice", count(func(one request) bool { return one.double }), 0.1},
		{"streams", count(func(one request) bool { return one.stream }), 0.45},
		{"sent twice though repeatable", count(func(one request) bool { return one.double && one.repeatable }), 0},
	}
	const tolerance = 0.03
	for _, test := range tests {
		if test.got < test.want-tolerance || test.got > test.want+tolerance {
			t.Errorf("%s: got %.3f, want %.3f", test.name, test.got, test.want)
		}
	}
}

func TestPromptsShareTheirGroupsPrefix(t *testing.T) {
	prompts, prefixes := map[string]bool{}, map[uint64]bool{}
	all := planned(planOptions())
	for _, one := range all {
		if len(one.prompt) != 200 {
			t.Fatalf("prompt length: got %d, want 200", len(one.prompt))
		}
		prompts[one.prompt] = true
		prefixes[answer.Prefix(one.prompt)] = true
	}
	if len(prompts) != len(all) {
		t.Errorf("different prompts: got %d, want %d", len(prompts), len(all))
	}
	if len(prefixes) != 4 {
		t.Errorf("different prefixes: got %d, want 4", len(prefixes))
	}
}

func TestParse(t *testing.T) {
	if got, err := ParseCustomer("post:key:3"); err != nil || got != (Customer{Name: "post", Key: "key", Share: 3}) {
		t.Errorf("customer: got %+v, %v", got, err)
	}
	if got, err := ParseAdapter("label:v1:0.5"); err != nil || got != (Target{Name: "label", Version: "v1", Fraction: 0.5}) {
		t.Errorf("adapter: got %+v, %v", got, err)
	}
	for _, text := range []string{"", "post", ":key", "post:key:x", "post:key:-1", "a:b:c:d"} {
		if _, err := ParseCustomer(text); err == nil {
			t.Errorf("customer %q: got no error, want one", text)
		}
	}
	for _, text := range []string{"", "customs", "customs:2", ":0.5"} {
		if _, err := ParseService(text); err == nil {
			t.Errorf("service %q: got no error, want one", text)
		}
	}
}
