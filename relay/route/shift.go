package route

// maxOlder bounds the versions remembered from before the target.
const maxPreviousTargets = 4

// Roll is the state of one model's move to its target version.
type Roll struct {
	Target    string            // the document's version
	WhenWhole bool              // the document's shift: no caller before every replica is whole
	Serving   map[string]string // version served, by host
	Whole     bool              // every planned replica serves the target
}

// Shift decides which versions of one model callers may get. The zero value is
// not ready; use NewShift. It is not safe for concurrent use.
type Shift struct {
	target          string
	complete        bool     // the target was whole once; stays so until the target moves
	lastComplete    string   // the last version that was whole; empty if none
	previousTargets []string // targets before this one that hosts may still serve
}

// NewShift returns a Shift that knows no version.
func NewShift() *Shift { return &Shift{} }

// Allowed returns the versions that may serve now.
//
// The target is always intended. Older ones are until the target is whole: the
// hosts that have not turned keep the customers served. A process that started
// in the middle of a roll does not know what was intended before; it takes the
// version that most hosts serve.
func (s *Shift) Allowed(roll Roll) []string {
	if roll.Target != s.target {
		s.setTarget(roll)
	}
	s.complete = s.complete || roll.Whole
	if s.complete {
		s.lastComplete = s.target
		s.previousTargets = nil
		return []string{s.target}
	}
	if roll.WhenWhole && s.lastComplete != "" && isServed(roll.Serving, s.lastComplete) {
		return []string{s.lastComplete}
	}
	return append([]string{s.target}, s.previousTargets...)
}

func (s *Shift) setTarget(roll Roll) {
	previous := s.target
	s.target, s.complete = roll.Target, false
	if previous == "" {
		s.inferPreviousVersion(roll)
		return
	}
	s.previousTargets = append([]string{previous}, s.previousTargets...)
	s.previousTargets = s.previousTargets[:min(len(s.previousTargets), maxPreviousTargets)]
}

// adopt takes the version that most hosts serve beside the target as the one
// from before.
func (s *Shift) inferPreviousVersion(roll Roll) {
	counts := make(map[string]int)
	for _, version := range roll.Serving {
		counts[version]++
	}
	delete(counts, roll.Target)
	mostServed := ""
	for version, count := range counts {
		if mostServed == "" || count > counts[mostServed] || (count == counts[mostServed] && version < mostServed) {
			mostServed = version
		}
	}
	if mostServed != "" {
		s.lastComplete = mostServed
		s.previousTargets = []string{mostServed}
	}
}

func isServed(hosts map[string]string, version string) bool {
	for _, served := range hosts {
		if served == version {
			return true
		}
	}
	return false
}
