// Command rig runs one case of the review: it starts stand-ins of the platform, workers and
// callers, and the project's programs as processes of their own, and judges one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// longestRun ends a run that hangs.
	longestRun = 110 * time.Second
)

// scenario runs a case and returns how often its rule was broken. With trouble false it leaves the
// disruption out.
type scenario func(w *world, trouble bool) (broken int, err error)

var scenarios = map[string]scenario{
	"emptied": runEmptied,
	"hang":    runHang,
	"removal": runRemoval,
	"version": runVersion,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to run")
	file := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	bin := flag.String("bin", "target", "folder with the programs that the deploy file's build line makes")
	logs := flag.String("logs", "", "folder to keep the logs of the processes in; empty: they are not kept")
	flag.Parse()
	play := scenarios[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "rig: there is no case %q\n", *name)
		return exitFailed
	}
	rec, err := openRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	defer rec.close()
	w, err := newWorld(rec, *bin)
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitFailed
	}
	defer w.stop(*logs)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	trouble := os.Getenv("TROUBLE") != "0"
	type verdict struct {
		broken int
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- verdict{broken, err}
	}()
	var got verdict
	select {
	case got = <-done:
	case <-ended:
		got.err = fmt.Errorf("stopped by a signal")
	case <-time.After(longestRun):
		got.err = fmt.Errorf("not done after %v", longestRun)
	}
	if got.err == nil {
		if names := w.anyEnded(); names != "" {
			got.err = fmt.Errorf("%s ended by itself", names)
		}
	}
	switch {
	case got.err != nil:
		rec.say("cannot run: %v", got.err)
		return exitFailed
	case got.broken > 0:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
