package deployment

// Place is one failure domain and the region that it lies in.
type Place struct {
	Region, FailureDomain string
}

// Quetzal returns the three places of the Quetzal deployment, the first one.
func Quetzal() []Place {
	return []Place{
		{Region: "guatemala", FailureDomain: "zona-uno"},
		{Region: "quetzaltenango", FailureDomain: "xela-sala"},
		{Region: "zacapa", FailureDomain: "zacapa-sala"},
	}
}
