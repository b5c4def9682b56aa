// Package eras follows the eras of the log for one daemon. The log is in a new era
// each time it has come back from an older copy, and names its era in each answer.
//
// All who call the log, or hear of it from the holder, pass what they see to the
// daemon's Tracker. It tells the others of a new era, whichever topic showed it,
// and rejects answers of an older one.
package eras
