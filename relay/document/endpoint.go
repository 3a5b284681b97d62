package document

import "comfreyrelay.example/relay/wire"

// IsEngine reports whether the host's endpoint is a model engine. Hosts of plain
// services and bridges load no models. An endpoint that is not in the document
// counts as an engine.
func IsEngine(doc *wire.Document, report *wire.HostReport) bool {
	if report.GetService() != "" {
		return false
	}
	for _, class := range doc.GetEndpoints() {
		if class.GetName() == report.GetEndpoint() {
			return class.GetKind() == KindEngine
		}
	}
	return true
}
