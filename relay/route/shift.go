package route

// maxOlder bounds the versions remembered from before the target.
const maxOlder = 4

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
	target  string
	whole   bool     // the target was whole once; stays so until the target moves
	settled string   // the last version that was whole; empty if none
	older   []string // targets before this one that hosts may still serve
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
		s.retarget(roll)
	}
	s.whole = s.whole || roll.Whole
	if s.whole {
		s.settled = s.target
		s.older = nil
		return []string{s.target}
	}
	if roll.WhenWhole && s.settled != "" && serving(roll.Serving, s.settled) {
		return []string{s.settled}
	}
	return append([]string{s.target}, s.older...)
}

func (s *Shift) retarget(roll Roll) {
	before := s.target
	s.target, s.whole = roll.Target, false
	if before == "" {
		s.adopt(roll)
		return
	}
	s.older = append([]string{before}, s.older...)
	s.older = s.older[:min(len(s.older), maxOlder)]
}

// adopt takes the version that most hosts serve beside the target as the one
// from before.
func (s *Shift) adopt(roll Roll) {
	counts := make(map[string]int)
	for _, version := range roll.Serving {
		counts[version]++
	}
	delete(counts, roll.Target)
	best := ""
	for version, count := range counts {
		if best == "" || count > counts[best] || (count == counts[best] && version < best) {
			best = version
		}
	}
	if best != "" {
		s.settled = best
		s.older = []string{best}
	}
}

func serving(hosts map[string]string, version string) bool {
	for _, each := range hosts {
		if each == version {
			return true
		}
	}
	return false
}
