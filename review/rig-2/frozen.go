package main

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// freezeTime is for_s of node_freeze on "side" in caq-rezago.toml.
	freezeTime = 4 * time.Second
	// rotAfter and freezeAfter are when the pieces turn bad and when the machine freezes, after the
	// agent has read the last piece back.
	rotAfter    = 150 * time.Millisecond
	freezeAfter = 300 * time.Millisecond
)

// rotten is x = 0.06 of the 96 pieces, as garble (rot) has it in caq-rezago.toml.
var rotten = []int{3, 20, 41, 66, 90}

// playFrozen lets staged pieces of a worker turn bad after the agent beside it has checked them and
// before it orders the load, and then freezes the machine. It reports whether the rule WHOLE was
// broken.
func playFrozen(ctx context.Context, s *site, trouble string) (broken bool, err error) {
	chosen := make(chan *worker, 1)
	for _, one := range s.workers {
		one.checkedOf = 2
		one.onChecked = func(w *worker) {
			if w.runningNow() == 0 {
				// The agent of an idle worker orders the load at once.
				return
			}
			select {
			case chosen <- w:
			default:
			}
		}
	}
	s.store.put("op/version/"+model, map[string]any{"model": model, "version": 2})
	s.rec.say("version 2 of the weights is named")
	var struck *worker
	select {
	case struck = <-chosen:
	case <-ctx.Done():
		return false, errors.New("no agent read the staged pieces back")
	}
	chosen <- nil // the others are left alone
	s.disturb(struck, trouble)
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		tokens, spoilt := tokensOf(struck, 2)
		if tokens >= 3 {
			s.rec.say("worker %s began %d requests on version 2, %d of them with weights that were taken while a piece had been bad for over 3 s",
				struck.id, tokens, spoilt)
			return spoilt > 0, nil
		}
	}
	return false, errors.New("the worker made no token on version 2 in time")
}

// disturb does what the case is about to the worker and to the agent beside it.
func (s *site) disturb(w *worker, trouble string) {
	var agent *machine
	for i, one := range s.workers {
		if one == w {
			agent = s.agents[i]
		}
	}
	s.rec.say("the agent %s has read all staged pieces of version 2 back", agent.name)
	time.Sleep(rotAfter)
	if trouble == "1" || trouble == "rot" {
		w.spoil(rotten...)
	}
	time.Sleep(freezeAfter - rotAfter)
	if trouble != "1" && trouble != "freeze" {
		return
	}
	agent.signal(syscall.SIGSTOP)
	w.freeze()
	s.rec.say("the machine of %s is frozen", agent.name)
	time.Sleep(freezeTime)
	s.rec.say("the machine of %s wakes", agent.name)
	w.wake()
	agent.signal(syscall.SIGCONT)
}

// tokensOf returns how many requests began on a version at a worker, and how many of them on weights
// that break the rule.
func tokensOf(w *worker, version uint64) (count, spoilt int) {
	for _, one := range w.begunRequests() {
		if one.version != version {
			continue
		}
		count++
		if one.spoilt {
			spoilt++
		}
	}
	return count, spoilt
}
