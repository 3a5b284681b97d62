package cmd

import "testing"

// TestEnds runs testdata/ends: each command's input is a log, its arguments those of the
// command line.
func TestEnds(t *testing.T) { runLogScript(t, "ends", "testdata/ends") }
