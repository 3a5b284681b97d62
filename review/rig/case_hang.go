package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// runHang names a new version of the weights. As the disruption, all processes of the system are
// killed just after the acknowledgement and started again, and while the agents list what is staged
// beside the engines, the connections that are open to the engines go silent; new ones work. It
// compares how many requests are served before this and later than recovery_s after the processes
// are back. With TROUBLE=kill the processes are killed and no connection goes silent.
func runHang(w *world, trouble bool) (int, error) {
	const (
		key            = "notekeyaaaaaaaaaaaaa"
		entries        = 3
		engines        = 6
		callersOfEntry = 6
		// afterAck is the time from the acknowledgement to the kill, down that until the processes
		// are started again.
		afterAck = 20 * time.Millisecond
		down     = 500 * time.Millisecond
		// observed is for how long requests are judged.
		observed = 20 * time.Second
	)
	site, err := w.startModelSite(entries, engines, key)
	if err != nil {
		return 0, err
	}
	all := &callers{world: w, record: w.record}
	stop := make(chan struct{})
	site.press(all, callersOfEntry, stop)
	began := time.Now()
	time.Sleep(6 * time.Second)
	named := site.nameVersion(2)
	back := named
	if trouble {
		time.Sleep(afterAck)
		if err := site.restartAll(down); err != nil {
			return 0, err
		}
		back = time.Now()
	}
	time.Sleep(contact + recoveryBound + observed)
	close(stop)
	all.wg.Wait()
	// The silence counts as a reset of connections: the recovery is taken to begin contact_ms later.
	return judgeRecovery(w, site, all.all(), began, named, back.Add(contact)), nil
}

// restartAll kills all programs of the system at once and starts them again. Unless TROUBLE is
// "kill", all connections that are open to the engines go silent once each agent reads staged pieces.
func (s *modelSite) restartAll(down time.Duration) error {
	var killed sync.WaitGroup
	for _, p := range s.programs {
		killed.Go(p.kill)
	}
	killed.Wait()
	time.Sleep(down)
	before := s.reads()
	for _, p := range s.programs {
		if err := p.begin(); err != nil {
			return err
		}
	}
	if os.Getenv("TROUBLE") == "kill" {
		return nil
	}
	return s.silenceWhileReading(before)
}

// reads returns how many staged pieces were read from each engine.
func (s *modelSite) reads() []int {
	var counts []int
	for _, one := range s.llms {
		counts = append(counts, one.readCount())
	}
	return counts
}

// silenceWhileReading waits until every agent reads staged pieces, then makes all connections that
// are open to the engines go silent at once.
func (s *modelSite) silenceWhileReading(before []int) error {
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		reading := 0
		for i, count := range s.reads() {
			if count-before[i] >= chunkCount {
				return fmt.Errorf("the agent of %s was done before the others began to read", s.llms[i].id)
			}
			if count > before[i] {
				reading++
			}
		}
		if reading == len(s.llms) {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d agents read what is staged", reading, len(s.llms))
		}
	}
	open := 0
	for _, one := range s.llms {
		open += one.doors.mute()
	}
	s.world.record.add("engines", "%d open connections to the engines go silent", open)
	return nil
}

// judgeRecovery returns 1 if less than a quarter of the requests sent later than recovery_s after
// the processes were back is served, though a quarter or more was before.
func judgeRecovery(w *world, s *modelSite, outcomes []outcome, began, named, back time.Time) int {
	var before, after, beforeServed, afterServed int
	reasons := map[string]int{}
	for _, out := range outcomes {
		served := out.status == 200 && out.stamp != ""
		switch {
		case out.sent.After(began) && out.ended.Before(named):
			before++
			if served {
				beforeServed++
			}
		case out.sent.After(back.Add(recoveryBound)):
			after++
			if served {
				afterServed++
			} else {
				reasons[out.reason]++
			}
		}
	}
	loaded := 0
	for _, one := range s.llms {
		one.mu.Lock()
		if one.version == 2 {
			loaded++
		}
		one.mu.Unlock()
	}
	w.record.say("served before the fault: %d of %d; later than recovery_s after the processes were back: %d of %d, the others: %v",
		beforeServed, before, afterServed, after, reasons)
	w.record.say("%d of %d engines have version 2, %.1f s after it was named", loaded, len(s.llms), time.Since(named).Seconds())
	if 4*beforeServed >= before && before > 0 && after > 0 && 4*afterServed < after {
		return 1
	}
	return 0
}
