package quarantine

// survivorGeneration is how many parts are recorded before those of the generation before last are
// forgotten.
const survivorGeneration = 8192

// survival is what is known of the requests with one part of prompts with which endpoints kept running.
type survival struct {
	at       timestamp // of the latest such request of this entry or reported as it happened; 0: unknown
	reported bool      // to all entries
}

// survivors records the parts of prompts with which endpoints have kept running. It keeps the latest
// survivorGeneration parts at least, and twice as many at most.
type survivors struct {
	current, previous map[Fingerprint]survival
}

// find returns what is known of a part; ok is false if no endpoint is known to have kept running
// with it.
func (s *survivors) find(fp Fingerprint) (found survival, ok bool) {
	if found, ok = s.current[fp]; ok {
		return found, true
	}
	found, ok = s.previous[fp]
	return found, ok
}

// update adds what is known of a part.
func (s *survivors) update(fp Fingerprint, now survival) {
	known, _ := s.find(fp)
	if s.current == nil || len(s.current) >= survivorGeneration {
		s.current, s.previous = map[Fingerprint]survival{}, s.current
	}
	s.current[fp] = survival{at: max(known.at, now.at), reported: known.reported || now.reported}
}
