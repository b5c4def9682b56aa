// Package ration bounds the memory that buffered bodies take together.
//
// A bound on each body doesn't bound their sum: a few dozen responses of a faulty upstream
// that don't end fill a daemon's memory, and all requests of the daemon end with it. Each
// body may hold Free bytes without asking, which is more than nearly all of them have. What
// goes beyond is taken from a Ration, and one source, such as an upstream, may have a part of
// it only, so that the callers of others aren't refused for it.
package ration
