package document

import (
	"fmt"
	"strconv"

	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

// CheckAgainstHosts reports the replicas for which there are not enough engine
// hosts. countByDomain holds the number of known hosts by failure domain; a host
// serves one model. If countByDomain is empty, no hosts are known yet and nothing
// is reported.
func CheckAgainstHosts(doc *wire.Document, countByDomain map[string]int) []Problem {
	if len(countByDomain) == 0 {
		return nil
	}
	var found []Problem
	wanted := map[string]int{}
	for i, model := range doc.GetModels() {
		for j, replicas := range model.GetReplicas() {
			domain := replicas.GetFailureDomain()
			hosts := countByDomain[domain]
			wanted[domain] += int(replicas.GetCount())
			if replicas.GetCount() == 0 || wanted[domain] <= hosts {
				continue
			}
			path := schema.Pointer("models", strconv.Itoa(i), "replicas", strconv.Itoa(j), "count")
			found = append(found, schema.NewProblem(path,
				fmt.Sprintf("with this model %d replicas are wanted in failure domain %q, which has %d hosts", wanted[domain], domain, hosts),
				"lower the count or add hosts there"))
		}
	}
	return found
}
