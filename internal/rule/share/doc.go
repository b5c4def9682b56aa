// Package share divides the slots of contended engines among daemons.
//
// Many daemons choose concurrently among the same engines and know of each other's
// requests some 0.3 s later. In that time they send a hot engine requests for half of its
// slots, which wait there in the order of arrival. The holder therefore grants the slots of
// an engine once all of them are in use: daemons report what waits for it, and the holder
// grants a slot for each request that the engine has room for, whichever daemon it waits at.
//
// The room of an engine is its slots, less the requests that daemons report there, less the
// grants that no report includes yet, plus a headroom for what ends while an end is reported
// and its slot granted. Daemons report an end at a contended engine at once. A grant is void
// at its daemon's next report, so that slots aren't saved.
//
// Slots go to requests that can still be on time, the most urgent first, at whichever daemon
// they wait. A patient request leaves slots to them until a quarter of its time is left; such
// requests together then take every second place. What nobody can use in time goes to late
// requests. One that can't be served by what goes before it and by what arrives is refused
// with the reply to the report that asks for it.
//
// Requests that no report has, of daemons that don't reach the holder or are of an earlier
// build, show by the time that others wait at the engine. The room is smaller by their estimate.
//
// A holder grants nothing in the first second of its tenure, in which daemons report to it.
// Meanwhile, and without a holder, each daemon goes by itself (rule/permit).
package share
