// Package quota keeps a daemon within the rate limits that upstreams name in their
// answers for the requests of all daemons together.
//
// A request to an upstream with a limit takes a permit. The holder gives permits for
// requests that wait (package dealer); a permit that isn't used soon is void, so that
// no daemon saves them up. While there is no holder, each daemon gives itself its
// share of the limit.
//
// What daemons know of limits is exchanged with its age and not with a time, because
// their clocks differ; what was named last holds.
package quota
