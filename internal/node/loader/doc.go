// Package loader executes the decisions of rule/plan on the holder, the daemon
// that may order loads.
//
// It collects demand from all daemons, requests reports from engines, sends
// orders, and tells the daemons what engines hold. A daemon that isn't the holder
// does none of this. In a new tenure it starts from the engines' reports, because
// the previous holder's state is lost.
package loader
