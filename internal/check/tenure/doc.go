// Package tenure is a specification, for the model checker, of the lease that allows
// one daemon to order loads, on a log that can come back from an older copy. It
// specifies the rules that internal/core/lease has to follow; it doesn't run them.
//
// # Rules
//
//   - Each answer of the log states its era, the number of such returns. A position is
//     an era and an offset, and a record states the era in which its writer believed.
//   - The log compares offsets only. A daemon therefore takes an append for done only
//     if the answer is of the era in which it read the offset.
//   - A tenure lasts TTL from the sending of the append. A candidate waits TTL from when
//     it read the newest record, or noticed the era if that was later, and orders after
//     a further pause.
//   - A record of an older era shows nothing about later tenures. Neither is the
//     daemon's own continued at once, nor one of a released lease taken at once, nor
//     does an empty log show that no daemon has ordered.
//   - A holder whose tenure is valid when it notices an era writes its record at once.
//   - The fence is the position of the record that began the tenure, with the era first.
//   - A daemon that restarts continues its own record of the current era, after the
//     pause, since the tenure before may have ended shortly before the restart.
//
// # Abstractions
//
// Time passes in ticks for all daemons alike, because only durations are compared. The
// margin of the wait is shorter than a tick. A daemon that is cut off or paused is one
// that takes no step: appends take effect and answers arrive late, or not at all. A copy
// may be of any time, also of an era before the last. Contact with the holder, which
// only lets candidates wait longer, is left out. The numbers of all events are bounded.
package tenure
