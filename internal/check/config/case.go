package config

import "github.com/azurespan/azurespan/internal/check/search"

// Properties returns the violations that are searched for in every state.
func Properties() []string { return properties[1:] }

// Cases returns the searches of this package. Their names begin with
// "confs", the prefix in the output of cmd/model.
func Cases() []search.Case {
	small := Bounds{Publications: 3, Delayed: 1, Restarts: 1}
	var out []search.Case
	add := func(name string, b Bounds, f Fault, short bool) {
		out = append(out, search.Case{Name: "confs, " + name, Fault: string(f), Short: short, Run: func(limit int) search.Result {
			return search.Run(New(b, f), limit)
		}})
	}
	add("3 publications", small, NoFault, true)
	add("5 publications", Bounds{Publications: 5, Delayed: 1, Restarts: 2}, NoFault, false)
	add("3 publications", small, ArrivalOrder, true)
	add("3 publications", small, OldSnapshot, true)
	add("3 publications", small, AppendTrusted, true)
	return out
}
