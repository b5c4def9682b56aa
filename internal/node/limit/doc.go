// Package limit lets the loads of this daemon wait for their share of the
// weight store's and the adapters' limits. It runs a pacer.Pacer, tells the
// peers what this daemon loads, and takes over what they tell.
package limit
