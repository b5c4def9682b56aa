// Package pick chooses the upstream that runs a request.
//
// A Table holds what one daemon knows: the registered upstreams, the models
// loaded in engines, its own requests in progress, those of the other daemons
// as last reported, and the outcomes of earlier requests. Choose compares
// upstreams by a cost made up of
//
//   - the load: requests in progress per slot, multiplied by how slow the
//     upstream is relative to its peers;
//   - failures: an upstream that breaks connections is ejected for a time that
//     doubles with each failure, and one with a high error rate is penalized
//     in proportion to it, whatever its health check says;
//   - the failure domain, with a small weight;
//   - prompt sharing: requests that share a prompt part go to the same replica
//     unless it is much busier than the others.
//
// A leaving or full upstream is never chosen.
//
// A Table is not safe for concurrent use; the caller serializes all calls.
package pick
