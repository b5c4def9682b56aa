// Package fleet defines the data types of an entry host: the operator's
// configuration, the registered upstreams, requests, and the orders that change
// what an upstream holds. The types are independent of a platform; its adapter
// converts them from and to the platform's formats.
package fleet
