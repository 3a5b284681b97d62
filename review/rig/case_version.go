package main

import (
	"time"
)

// runVersion names a new version of the weights. As the disruption, all open connections to the
// store go silent just before that; new ones work. It counts the requests that begin on the older
// version more than version_ms after the newer one was acknowledged.
func runVersion(w *world, trouble bool) (int, error) {
	const (
		key            = "notekeyaaaaaaaaaaaaa"
		entries        = 3
		engines        = 9
		callersOfEntry = 20
		// beforeSilence is the time from the configuration to the disruption.
		beforeSilence = 400 * time.Millisecond
		// beforeVersion is the time from the disruption to the new version.
		beforeVersion = 100 * time.Millisecond
	)
	site, err := w.startModelSite(entries, engines, key)
	if err != nil {
		return 0, err
	}
	all := &callers{world: w, record: w.record}
	stop := make(chan struct{})
	site.press(all, callersOfEntry, stop)
	time.Sleep(4 * time.Second)
	// A change that all entries hear of at once: each begins its next watch shortly before the
	// disruption.
	other := streamRoute("other", "/other/")
	site.platform.put("op/config", config(7, append(site.routes, other), site.services, site.tenants))
	time.Sleep(beforeSilence)
	silent := time.Now().Add(-contact)
	if trouble {
		silent = time.Now()
		w.record.add("store", "%d open connections go silent", site.doors.mute())
	}
	time.Sleep(beforeVersion)
	named := site.nameVersion(2)
	time.Sleep(versionBound + 6*time.Second)
	close(stop)
	all.wg.Wait()
	return judgeVersions(w, site.llms, all.all(), named, silent.Add(contact)), nil
}

// judgeVersions counts the requests that began on version 1 more than version_ms after version 2
// was named, at entries that were in touch when the request was sent.
func judgeVersions(w *world, llms []*engine, outcomes []outcome, named, inTouch time.Time) int {
	answers := map[string]outcome{}
	statuses := map[int]int{}
	for _, out := range outcomes {
		answers[out.attempt] = out
		statuses[out.status]++
	}
	late, last, newest := 0, time.Duration(0), 0
	for _, one := range llms {
		here := 0
		for _, run := range one.all() {
			after := run.at.Sub(named)
			if run.version >= 2 {
				newest++
				continue
			}
			last = max(last, after)
			answer := answers[run.attempt]
			if after <= versionBound || !answer.sent.After(inTouch) {
				continue
			}
			late++
			here++
			w.record.add("verdict", "%s began on version 1 at %s %.3f s after version 2 was acknowledged; its caller got %d",
				run.attempt, run.engine, after.Seconds(), answer.status)
		}
		if here > 0 {
			w.record.say("%s: %d requests began too late on version 1", one.id, here)
		}
	}
	w.record.say("%d requests began on version 1 more than version_ms after version 2 was acknowledged; the last one on it began after %.3f s, %d began on version 2; answers by status (0: none): %v",
		late, last.Seconds(), newest, statuses)
	return late
}
