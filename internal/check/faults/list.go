package faults

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	var out []Scenario
	out = append(out, daemonScenarios()...)
	out = append(out, networkScenarios()...)
	out = append(out, logScenarios()...)
	out = append(out, operatorScenarios()...)
	out = append(out, upstreamScenarios()...)
	out = append(out, pairScenarios()...)
	out = append(out, accountScenarios()...)
	return out
}

// ShortScenarios returns the scenarios that the Go test runs.
func ShortScenarios() []Scenario {
	var out []Scenario
	for _, s := range Scenarios() {
		switch s.Name {
		case "kill-daemon-streams", "burst", "sigterm-one-by-one", "accounts-freeze":
			out = append(out, s)
		}
	}
	return out
}
