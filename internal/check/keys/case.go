package keys

import "github.com/azurespan/azurespan/internal/check/search"

// Properties returns the violations that are searched for in every state.
func Properties() []string { return []string{ranTwice, falseRefusal, falseReplay} }

// Cases returns the searches of this package. In their names, which cmd/model
// prints, a keeper is a server.
func Cases() []search.Case {
	small := Bounds{Attempts: 2, Takes: 2, Claims: 2}
	with := func(f func(*Bounds)) Bounds {
		b := small
		f(&b)
		return b
	}
	withdraw := with(func(b *Bounds) { b.Withdraws = 1 })
	ticks := with(func(b *Bounds) { b.Ticks = 3 })
	var out []search.Case
	add := func(name string, b Bounds, f Fault, short bool) {
		out = append(out, search.Case{Name: "keys, " + name, Fault: string(f), Short: short, Run: func(limit int) search.Result {
			return search.Run(New(b, f), limit)
		}})
	}
	add("withdrawal", withdraw, NoFault, true)
	add("repeated append", with(func(b *Bounds) { b.Claims, b.Copies, b.Withdraws = 3, 1, 1 }), NoFault, false)
	add("delayed append", with(func(b *Bounds) { b.Withdraws, b.Delayed = 1, 1 }), NoFault, false)
	add("repeated and delayed appends", with(func(b *Bounds) { b.Claims, b.Copies, b.Delayed = 3, 1, 1 }), NoFault, false)
	add("two digests", with(func(b *Bounds) { b.Attempts, b.Takes, b.Claims, b.Withdraws = 3, 1, 3, 1 }), NoFault, false)
	add("crash of a keeper", with(func(b *Bounds) { b.Withdraws, b.Crashes = 1, 1 }), NoFault, false)
	add("retention", ticks, NoFault, false)
	add("retention and crash of a keeper", with(func(b *Bounds) { b.Ticks, b.Crashes, b.Takes = 3, 1, 1 }), NoFault, false)

	add("withdrawal", withdraw, RunBeforeClaim, true)
	add("two keepers", small, LeaseTrusted, true)
	add("retention", ticks, RetentionIgnored, true)
	add("withdrawal", withdraw, WithdrawAfterRun, true)
	add("withdrawal", withdraw, GrantAfterRefusal, true)
	return out
}
