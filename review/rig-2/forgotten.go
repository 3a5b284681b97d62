package main

import (
	"context"
	"time"
)

const (
	// versionTime and contactTime are version_ms and contact_ms of caq-rezago.toml.
	versionTime = 8 * time.Second
	contactTime = 3 * time.Second
	// killAfter is when all processes are killed, after the version was named, and downTime how
	// long they are down (the site's closings have 1.0 to 1.5 s).
	killAfter = 4 * time.Second
	downTime  = time.Second
	// sendMargin is more than a request takes from an entry to its first token.
	sendMargin = 100 * time.Millisecond
)

// playForgotten kills all processes of the system after a version was named. It reports whether the
// rule VERSION was broken.
func playForgotten(ctx context.Context, s *site, trouble string) (broken bool, err error) {
	named := s.store.put("op/version/"+model, map[string]any{"model": model, "version": 2})
	s.rec.say("version 2 of the weights is named and acknowledged")
	var inTouch time.Time
	if trouble == "1" {
		time.Sleep(killAfter)
		for _, m := range s.machines() {
			m.kill()
		}
		s.rec.say("all processes of the system are killed")
		time.Sleep(downTime)
		for _, m := range s.machines() {
			if err := s.start(m); err != nil {
				return false, err
			}
		}
		inTouch = time.Now().Add(contactTime)
		s.rec.say("all of them are started again")
	}
	select {
	case <-time.After(time.Until(named.Add(16 * time.Second))):
	case <-ctx.Done():
		return false, ctx.Err()
	}
	late, lastLate := 0, time.Duration(0)
	for _, w := range s.workers {
		for _, one := range w.begunRequests() {
			if one.version >= 2 || !one.at.After(named.Add(versionTime)) || one.at.Add(-sendMargin).Before(inTouch) {
				continue
			}
			late++
			lastLate = max(lastLate, one.at.Sub(named))
			s.rec.add("late: request %s begins on version 1 at %s, %.3f s after version 2 was acknowledged", one.request, one.worker, one.at.Sub(named).Seconds())
		}
	}
	s.rec.say("%d requests, sent on by machines in touch, began on version 1 later than 8 s after version 2 was acknowledged, the last %.3f s after it",
		late, lastLate.Seconds())
	return late > 0, nil
}
