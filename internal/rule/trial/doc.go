// Package trial decides at one daemon when a request under which upstreams have crashed
// may be sent again: one of its repetitions at a time, over all daemons.
//
// A request is a suspect if what its repetitions have in common (blame.Repeated) has a
// crash that hasn't been cleared, or if the holder says that it is contested, unless it
// has been answered since, or was answered shortly before. A suspect that is the only one
// of its kind here and elsewhere, as far as is known, is sent at once: that is the retry of
// a sound request after an ordinary crash. Suspects are disputed if there is a sign of
// repetitions: two crashes, two runs that ended with their upstreams, another one here,
// or the holder's word. A disputed suspect is sent once the holder has assigned it a
// trial (package assign), and without a holder while no other one runs here.
//
// A complete answer ends the suspicion. The package keeps no request waiting: those that
// may not be sent are held back by the caller, for as long as they would wait for an
// upstream.
//
// Locking: the caller serialises all calls.
package trial
