// Package bench replays synthetic traces against the decision packages and
// compares the outcome with simpler policies and with bounds.
//
// It is a discrete-event loop over virtual time with small fakes: engines
// (memory, sequences, token rate, checkpoints by tier) and the weight store
// (rate, concurrency). There is no network and no protocol between daemons:
// owners' news takes effect once a second within a failure domain and every
// fourth second across, engine reports once a second, and a grant costs a
// fixed append time. The rules of the ledger (replica limits, memory) are kept
// by construction.
//
// The policies are azurespan's decisions; fixed-keep-alive, where each daemon
// loads for itself on the first request and unloads after a fixed idle time;
// and all-loaded, where all models that fit are always loaded.
//
// The bound for cold starts takes the requests that met a cold start, loads
// each model from the nearest tier that has it, and queues remote loads for
// the store's places only, in order of arrival. Another order can do better in
// single percentiles while more than four loads wait. The clairvoyant bound for idle accelerator time
// knows all requests: between two of them it pays the gap or a load, whichever
// is less. Idle time is that of a replica that is loaded or being loaded and
// runs nothing, times its share of the upstream's accelerators.
package bench
