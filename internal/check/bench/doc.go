// Package bench replays synthetic traces against the decision packages and
// compares the outcome with simpler policies and with bounds.
//
// The replay is a discrete-event simulation in virtual time. It models engines
// (memory, sequences, token rate, checkpoints by tier) and the weight store (rate,
// concurrency), but no network and no protocol between daemons. Status of load
// owners spreads once per second within a failure domain and every fourth second
// between failure domains, engine reports arrive once per second, and a grant
// costs a fixed log append time. The simulation enforces the rules of the control
// state (replica limits, memory) itself.
//
// The compared policies are azurespan, which uses the decision packages;
// fixed-keep-alive, in which each daemon loads models for itself on the first
// request and unloads them after a fixed idle time; and all-loaded, in which all
// models that fit are always loaded.
//
// The physical bound for cold starts takes the requests that met a cold start,
// loads each model from the nearest tier that has it, and limits remote loads only
// by the store's concurrency, in order of arrival. Another order can give lower
// values of single percentiles while more than four loads wait.
//
// The clairvoyant bound for idle accelerator time knows all requests: each gap
// between two of them costs the gap or a load, whichever is less. Idle time is the
// time in which a replica is loaded or being loaded and runs nothing, multiplied
// by its share of the upstream's accelerators.
package bench
