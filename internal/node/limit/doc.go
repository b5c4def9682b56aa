// Package limit makes the loads of this daemon wait for their share of the
// limits on loads from the weight store and on adapter loads. It drives a
// pacer.Pacer, reports this daemon's loads to the peers, and passes the loads
// that the peers report to the Pacer.
package limit
