// Package blame finds what the requests have in common under which upstreams crash.
//
// A request has many attributes: each part of its prompt, its path, its model, its body,
// several of them together, all of them, and who sent it (Attributes). A request that
// crashes upstreams may come again with any of them changed, and no two requests with a
// part that crashes upstreams need be alike. So a crash is recorded in a history of each
// attribute of the requests that the upstream ran, and the attribute is to blame that
// was involved in most of the crashes and with which no request has been answered.
//
// A request that is answered clears its attributes. It clears those that different
// requests share, such as a part or a path, once the upstream has been answering for a
// while, of the crashes that were known when the answer began: an attribute that crashes
// upstreams crashes each of them. It clears the others when it is complete.
//
// An attribute is quarantined once crashes enough are left that no other quarantined
// attribute explains. Of several that were involved in the same crashes, those are
// blamed first with which no request has been answered here recently, then those with
// more crashes, then those that the same requests have rather than different ones, then
// those that fewer requests have. So a path is blamed if its requests crash upstreams
// with one body after the other, and one request if the path is otherwise served. If a
// narrow attribute was blamed and a wider one goes on to crash upstreams, the wider one
// has more crashes after the next and is blamed in its place.
//
// Upstreams also crash for other reasons, sometimes many at once. An attribute with which
// requests are answered here needs more crashes, as does one that different requests
// share and that was involved in fewer than half of the crashes of its time, and both are
// tried again once later. So how often requests with an attribute are answered bounds
// how easily it is blamed: sound requests that have the path, or the address, of one that
// crashes upstreams keep being served.
//
// While a service has upstreams of several software versions, a crash is also recorded in
// a history of the attribute at that version (AtVersion), so that another version, whose
// upstreams run the same request, doesn't clear it. That is done for what repetitions of
// a request have in common; what different requests share is judged over all versions.
//
// The crashes are histories of a poison.Table, which daemons exchange.
package blame
