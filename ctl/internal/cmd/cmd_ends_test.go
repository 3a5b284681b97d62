package cmd

import "testing"

// TestEnds runs testdata/ends: the input of each command is a log, and its arguments
// are the command-line options.
func TestEnds(t *testing.T) { runLogScript(t, "ends", "testdata/ends") }
