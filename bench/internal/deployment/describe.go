package deployment

// Description lists the addresses and keys with which a person can reach a
// deployment.
type Description struct {
	OperatorKey string              `json:"operatorKey"`
	CustomerKey string              `json:"customerKey"`
	Dir         string              `json:"dir"`
	Document    string              `json:"document"` // file with the document in force
	KV          string              `json:"kv"`
	Hosts       string              `json:"hosts"`
	Origin      string              `json:"origin"`
	Entries     []MemberDescription `json:"entries"`
	Agents      []MemberDescription `json:"agents"`
}

// MemberDescription holds the process id and the addresses of one member.
type MemberDescription struct {
	ID        string `json:"id"`
	PID       int    `json:"pid"`
	Callers   string `json:"callers,omitempty"`
	Operators string `json:"operators"`
	Endpoint  string `json:"endpoint,omitempty"`
}

// Describe returns the addresses of the deployment, its keys, which are valid only
// for this run, and the name of the file with its document.
func (d *Deployment) Describe(document string) Description {
	out := Description{
		OperatorKey: OperatorKey,
		CustomerKey: Customers(1)[0].Key(),
		Dir:         d.dir,
		Document:    document,
		KV:          d.kvURL,
		Hosts:       d.hostsURL,
		Origin:      d.originURL,
	}
	for _, m := range d.entries {
		out.Entries = append(out.Entries, m.describe())
	}
	for _, m := range d.agents {
		out.Agents = append(out.Agents, m.describe())
	}
	return out
}

func (m *Member) describe() MemberDescription {
	return MemberDescription{ID: m.id, PID: m.process.ID(), Callers: m.callers, Operators: m.operators, Endpoint: m.endpointURL}
}
