package control

import "time"

// Case describes one experiment.
type Case struct {
	Name   string
	Agents int
	// ChangesPerSecond is how often a new document is submitted.
	ChangesPerSecond float64
	// Customers is the number of customers in the document.
	Customers int
	// Outage is how long the key-value service is unavailable; no changes are
	// submitted meanwhile.
	Outage time.Duration
	// RestartAll restarts every entry and agent at once, without a drain.
	RestartAll bool
}

const (
	usualCustomers = 10
	usualAgents    = 50
	// outageTime is longer than every lease and watch of the deployment. An outage
	// of an hour is tested under a fake clock in the tests of the decision cores.
	outageTime = 12 * time.Second
)

// Cases returns all experiments in the order of the report.
func Cases() []Case {
	return []Case{
		{Name: "agents-18", Agents: 18, ChangesPerSecond: 1, Customers: usualCustomers},
		{Name: "agents-50", Agents: 50, ChangesPerSecond: 1, Customers: usualCustomers},
		{Name: "agents-100", Agents: 100, ChangesPerSecond: 1, Customers: usualCustomers},
		{Name: "agents-200", Agents: 200, ChangesPerSecond: 1, Customers: usualCustomers},
		{Name: "changes-0.1", Agents: usualAgents, ChangesPerSecond: 0.1, Customers: usualCustomers},
		{Name: "changes-0.5", Agents: usualAgents, ChangesPerSecond: 0.5, Customers: usualCustomers},
		{Name: "changes-5", Agents: usualAgents, ChangesPerSecond: 5, Customers: usualCustomers},
		{Name: "customers-100", Agents: usualAgents, ChangesPerSecond: 1, Customers: 100},
		{Name: "customers-1000", Agents: usualAgents, ChangesPerSecond: 1, Customers: 1000},
		{Name: "outage", Agents: usualAgents, ChangesPerSecond: 1, Customers: usualCustomers, Outage: outageTime},
		{Name: "restart-all", Agents: usualAgents, ChangesPerSecond: 1, Customers: usualCustomers, RestartAll: true},
	}
}
