// Command review-2 plays the script cases of the second review: a small deployment of the
// project's own programs on loopback addresses, with stand-ins of the platform's store, the
// workers, the origin and the callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// playTime bounds a case.
const playTime = 100 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "frozen, forgotten or extra")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	play := map[string]func(context.Context, *site, string) (bool, error){"frozen": playFrozen, "forgotten": playForgotten, "extra": playExtra}[*name]
	if play == nil {
		fmt.Println("no such case")
		return exitCannot
	}
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = "1"
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	broken, err := playCase(ctx, *root, dir, trouble, rec, play)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitCannot
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// playCase starts the deployment and the callers, plays the case and ends everything.
func playCase(ctx context.Context, root, dir, trouble string, rec *record, play func(context.Context, *site, string) (bool, error)) (bool, error) {
	s, err := newSite(ctx, root, dir, 4, rec)
	defer s.stop()
	if err != nil {
		return false, err
	}
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	rec.say("all entries are ready, trouble: %s", trouble)
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	load := newCallers(s)
	load.run(callersCtx, 30)
	time.Sleep(4 * time.Second)
	if load.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	broken, err := play(ctx, s, trouble)
	rec.say("%d requests sent, %d served whole", load.sent.Load(), load.served.Load())
	return broken, err
}
