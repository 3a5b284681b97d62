package route

// maxPreviousTargets bounds the former targets that are remembered.
const maxPreviousTargets = 4

// Rollout is the state of one model's rollout to its target version.
type Rollout struct {
	Target             string            // version in the document
	WaitForAllReplicas bool              // switch callers only once all replicas serve it (the document's shift)
	Serving            map[string]string // version served, by host
	Complete           bool              // every planned replica serves the target
}

// Shift decides which versions of one model callers may get during a rollout. Use
// NewShift to create one. It is not safe for concurrent use.
type Shift struct {
	target          string
	complete        bool     // the rollout to the target was complete once; reset when the target changes
	lastComplete    string   // the last version whose rollout was complete, or empty
	previousTargets []string // earlier targets that hosts may still serve, newest first
}

// NewShift returns a Shift without a target.
func NewShift() *Shift { return &Shift{} }

// Allowed returns the versions that may serve now, the preferred one first.
//
// The target is always allowed, unless the shift waits for all replicas. Earlier
// targets are allowed until the rollout is complete, so that hosts which have not
// switched yet keep serving customers. A process that started during a rollout does
// not know the earlier target; it assumes the version that most hosts serve.
func (s *Shift) Allowed(rollout Rollout) []string {
	if rollout.Target != s.target {
		s.setTarget(rollout)
	}
	s.complete = s.complete || rollout.Complete
	if s.complete {
		s.lastComplete = s.target
		s.previousTargets = nil
		return []string{s.target}
	}
	if rollout.WaitForAllReplicas && s.lastComplete != "" && isServed(rollout.Serving, s.lastComplete) {
		return []string{s.lastComplete}
	}
	return append([]string{s.target}, s.previousTargets...)
}

// setTarget starts a rollout to a new target.
func (s *Shift) setTarget(rollout Rollout) {
	previous := s.target
	s.target, s.complete = rollout.Target, false
	if previous == "" {
		s.inferPreviousVersion(rollout)
		return
	}
	s.previousTargets = append([]string{previous}, s.previousTargets...)
	s.previousTargets = s.previousTargets[:min(len(s.previousTargets), maxPreviousTargets)]
}

// inferPreviousVersion takes the version, other than the target, that most hosts
// serve as the previous target.
func (s *Shift) inferPreviousVersion(rollout Rollout) {
	counts := make(map[string]int)
	for _, version := range rollout.Serving {
		counts[version]++
	}
	delete(counts, rollout.Target)
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

// isServed reports whether any host serves the version.
func isServed(hosts map[string]string, version string) bool {
	for _, served := range hosts {
		if served == version {
			return true
		}
	}
	return false
}
