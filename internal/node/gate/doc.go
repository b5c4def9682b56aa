// Package gate queues requests while all replicas of their model are busy.
//
// It drives the queue of package admit: urgent requests go before background
// ones, a request that can't meet its deadline is refused at once, and one that
// was queued without success is refused before its deadline. A request that
// finds a free sequence, or whose model is not loaded yet, is admitted at once;
// the load of the model is awaited elsewhere, and the engine orders its requests
// by class.
package gate
