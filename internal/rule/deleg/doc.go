// Package deleg chooses the delegates of the holder: daemons that hold the shares of client
// accounts' allowances for all others, and lend them while the holder can't be asked.
//
// A share for each daemon of a large fleet is less than a request. Two delegates, outside
// the holder's failure domain and in different ones, hold enough for the time until a lost
// holder is replaced, also if its failure domain is cut off with it.
package deleg
