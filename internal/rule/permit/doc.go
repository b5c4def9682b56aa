// Package permit decides how many requests one daemon may send to engines for whose slots
// daemons compete.
//
// In contact with a holder that grants slots (rule/share), a contended engine takes a
// request for each grant, and any other engine as many as its load allows. A grant that is
// left when the daemon reports next is void.
//
// Without word of the holder, a daemon sends requests to the engines that were contended last
// at its part of the rate at which requests ended there. Each answer that came quickly raises
// that rate and each slow one or rejection lowers it, so that the daemons that are left find
// the engine's rate by themselves. Other engines are used by their load. A daemon that has
// never heard of a holder uses half of the slots of an engine at the most.
package permit
