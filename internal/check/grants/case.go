package grants

import "github.com/azurespan/azurespan/internal/check/search"

// Properties returns the violations that are searched for in every state.
func Properties() []string { return []string{replicaLimit, memoryLimit} }

// Cases returns the searches of this package. Their names begin with "loads", the
// prefix in the output of cmd/model. In "checking" both upstreams check fencing
// numbers, in "mixed" upstream 0 ignores them, and in "ignoring" both do.
func Cases() []search.Case {
	checking, mixed, ignoring := [2]bool{}, [2]bool{true, false}, [2]bool{true, true}
	small := Bounds{Daemons: 2, Takes: 1, Grants: 2, Releases: 1, Orders: 3}
	noTakeover := small
	noTakeover.Takes = 0
	with := func(b Bounds, f func(*Bounds)) Bounds {
		f(&b)
		return b
	}
	acks := with(small, func(b *Bounds) { b.Acks = 1 })
	var out []search.Case
	add := func(name string, b Bounds, ignores [2]bool, f Fault, short bool) {
		out = append(out, search.Case{Name: "loads, " + name, Fault: string(f), Short: short, Run: func(limit int) search.Result {
			return search.Run(New(b, ignores, f), limit)
		}})
	}
	add("mixed, no acknowledgement", small, mixed, NoFault, true)
	add("checking, acknowledgement", acks, checking, NoFault, false)
	add("mixed, acknowledgement", acks, mixed, NoFault, false)
	add("ignoring, acknowledgement", acks, ignoring, NoFault, false)
	add("mixed, order given up", with(acks, func(b *Bounds) { b.GivenUp = 1 }), mixed, NoFault, false)
	add("mixed, delayed append", with(small, func(b *Bounds) { b.Delayed = 1 }), mixed, NoFault, false)
	add("mixed, crash of a daemon", with(small, func(b *Bounds) { b.Crashes = 1 }), mixed, NoFault, false)
	add("checking, restart of an engine", with(small, func(b *Bounds) { b.Restarts = 1 }), checking, NoFault, false)
	add("mixed, three daemons", with(small, func(b *Bounds) { b.Daemons = 3; b.Grants = 1; b.Orders = 2 }), mixed, NoFault, false)

	add("mixed, order given up and crash of a daemon", with(small, func(b *Bounds) { b.Crashes, b.GivenUp = 1, 1 }), mixed, NoFault, false)
	add("checking, two releases", with(small, func(b *Bounds) { b.Releases, b.Orders = 2, 4 }), checking, NoFault, false)
	add("mixed, three daemons, two takeovers", with(small, func(b *Bounds) { b.Daemons, b.Takes, b.Grants = 3, 2, 1 }), mixed, NoFault, false)

	add("checking", small, checking, UncheckedFencing, true)
	add("checking, order given up", with(noTakeover, func(b *Bounds) { b.GivenUp = 1 }), checking, UncheckedSequence, true)
	add("ignoring, order given up", with(noTakeover, func(b *Bounds) { b.GivenUp = 1 }), ignoring, GivenUpLoad, true)
	add("checking, restart of an engine", with(small, func(b *Bounds) { b.Restarts = 1 }), checking, ForgottenFencing, true)
	add("checking, one owner", with(noTakeover, func(b *Bounds) { b.Orders = 2 }), checking, EarlyRelease, true)
	add("checking", with(small, func(b *Bounds) { b.Orders = 2 }), checking, ReportedRelease, true)
	add("mixed", small, mixed, TrustedFormer, true)
	add("mixed, acknowledgement", acks, mixed, EarlyAcknowledge, true)
	add("mixed, acknowledgement", acks, mixed, StaleUnload, true)
	add("checking, one owner", noTakeover, checking, LoadAfterRelease, true)
	add("checking, two releases", with(small, func(b *Bounds) { b.Releases, b.Orders = 2, 4 }), checking, ForeignRelease, true)
	return out
}
