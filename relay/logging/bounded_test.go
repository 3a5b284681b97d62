package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// Guards against a panic when a request in progress logs after the log is closed.
func TestLineAfterTheEndIsDropped(t *testing.T) {
	var out bytes.Buffer
	lines := NewBounded(&out)
	var writers sync.WaitGroup
	for i := range 8 {
		writers.Go(func() {
			for n := range 200 {
				fmt.Fprintf(lines, "writer=%d line=%d\n", i, n)
			}
		})
	}
	fmt.Fprintln(lines, "before")
	if err := lines.Close(); err != nil {
		t.Fatal(err)
	}
	writers.Wait()
	fmt.Fprintln(lines, "after")
	if got := out.String(); !strings.Contains(got, "before\n") || strings.Contains(got, "after\n") {
		t.Errorf("got %d bytes, want the line written before the end and none written after it", len(got))
	}
}
