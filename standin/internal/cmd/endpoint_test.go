package cmd

import (
	"slices"
	"testing"
)

func TestAddresses(t *testing.T) {
	tests := []struct {
		first string
		count int
		want  []string
	}{
		{"127.0.0.1:7100", 3, []string{"127.0.0.1:7100", "127.0.0.1:7101", "127.0.0.1:7102"}},
		{"127.0.0.1:0", 2, []string{"127.0.0.1:0", "127.0.0.1:0"}},
		{"localhost:7100", 1, nil},
		{"127.0.0.1", 1, nil},
		{"127.0.0.1:65535", 2, nil},
		{"127.0.0.1:7100", 0, nil},
	}
	for _, test := range tests {
		got, err := addresses(test.first, test.count)
		if !slices.Equal(got, test.want) || (err == nil) != (test.want != nil) {
			t.Errorf("%s, %d: got %v, %v; want %v", test.first, test.count, got, err, test.want)
		}
	}
}
