// Package gate holds requests back while all replicas of their model are busy.
//
// It runs the queue of package admit: urgent requests before background ones,
// a refusal at once for what can't be met, and a refusal before the deadline
// for what waited in vain. A request that finds a free sequence, or whose
// model is not loaded yet, passes; the wake is joined elsewhere, and the
// engine orders what reaches it by class.
package gate
