package callers

import (
	"net/http"
	"time"

	"comfreyrelay.example/relay/directory"
)

// entriesBody answers which entry to use.
type entriesBody struct {
	Use          string   `json:"use"`
	Spares       []string `json:"spares"`
	TTLSeconds   int      `json:"ttlSeconds"`
	Owner        string   `json:"owner"` // incarnation to name in once keys
	OwnerAddress string   `json:"ownerAddress"`
}

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

// direct chooses an entry for the caller. Where no other is known to be well,
// this one is all there is.
func (s *Server) chooseEntry(idx *index, caller string) directory.Choice {
	self := s.selfEntry()
	choice, found := directory.Choose(self, caller, s.usableEntries(idx))
	if !found {
		return directory.Choice{Use: self}
	}
	return choice
}

// usable returns the entries for callers; this one only while it takes new
// requests, whatever the reports still say.
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

// spares returns other entries' addresses, for a caller who is refused here.
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
