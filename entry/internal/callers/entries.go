package callers

import (
	"net/http"
	"time"

	"comfreyrelay.example/relay/directory"
)

// entriesBody is the answer of GET /v1/entries.
type entriesBody struct {
	Use          string   `json:"use"`
	Spares       []string `json:"spares"`
	TTLSeconds   int      `json:"ttlSeconds"`
	Owner        string   `json:"owner"` // incarnation to use as the owner in once keys
	OwnerAddress string   `json:"ownerAddress"`
}

// serveEntries tells a caller which entry to use.
func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request) {
	idx := s.index()
	if _, prob := idx.authenticate(r); prob != nil {
		prob.write(w, "")
		return
	}
	choice := s.chooseEntry(idx, r.RemoteAddr)
	body := entriesBody{
		Use:          choice.Use.Address,
		Spares:       addresses(choice.Spares),
		TTLSeconds:   int(s.cfg.DirectoryTTL / time.Second),
		Owner:        choice.Use.Incarnation,
		OwnerAddress: choice.Use.Address,
	}
	writeJSON(w, http.StatusOK, body)
}

// chooseEntry chooses an entry for the caller. If no entry is usable, it returns
// this one, even while it drains.
func (s *Server) chooseEntry(idx *index, caller string) directory.Choice {
	self := s.selfEntry()
	choice, found := directory.Choose(self, caller, s.usableEntries(idx))
	if !found {
		return directory.Choice{Use: self}
	}
	return choice
}

// usableEntries returns the entries that callers may be directed to. This entry
// is included exactly while it accepts requests, whatever the reports say,
// because they may be older.
func (s *Server) usableEntries(idx *index) []directory.Entry {
	accepting := s.tracker.accepting()
	var entries []directory.Entry
	listed := false
	for _, entry := range idx.entries {
		own := entry.Incarnation == s.cfg.Self.GetIncarnation()
		listed = listed || own
		if !own || accepting {
			entries = append(entries, entry)
		}
	}
	if !listed && accepting {
		entries = append(entries, s.selfEntry())
	}
	return entries
}

// selfEntry describes this entry for the choice of an entry.
func (s *Server) selfEntry() directory.Entry {
	return directory.Entry{
		ID:            s.cfg.Self.GetId(),
		Incarnation:   s.cfg.Self.GetIncarnation(),
		Address:       s.cfg.Self.GetCallersAddress(),
		Region:        s.cfg.Self.GetRegion(),
		FailureDomain: s.cfg.Self.GetFailureDomain(),
		InFlight:      s.InFlight(),
	}
}

// spares returns the addresses of other entries for a caller that is refused
// here, the preferred one first.
func (s *Server) spares(idx *index, caller string) []string {
	var others []directory.Entry
	for _, entry := range idx.entries {
		if entry.Incarnation != s.cfg.Self.GetIncarnation() {
			others = append(others, entry)
		}
	}
	choice, found := directory.Choose(s.selfEntry(), caller, others)
	if !found {
		return nil
	}
	return addresses(append([]directory.Entry{choice.Use}, choice.Spares...))
}

func addresses(entries []directory.Entry) []string {
	list := make([]string, 0, len(entries))
	for _, entry := range entries {
		list = append(list, entry.Address)
	}
	return list
}
