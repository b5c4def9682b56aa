// Package alloc estimates how the offered load of models divides over the engines that hold
// them.
//
// Offered load and capacity are in slots: the offered load of a model is the number of slots
// that its requests would occupy if none had to wait. Requests are sent to the least loaded
// engine that holds their model, so the load of each model is divided such that its engines are
// equally loaded, as far as the load of the others permits. This allocation minimises the sum
// of the squares of the loads by slots; it also serves the most that the copies can serve.
//
// Each slot of load beyond an engine's slots isn't served. Above a share of the slots, requests
// begin to wait for each other, and a part of the load counts as not served in time. Gain and
// Loss return by how much one copy more or less of a model changes that sum.
//
// A Table keeps the allocation between calls of Solve, which therefore costs little if little
// has changed.
package alloc
