// Package mixed generates a mixed workload of streamed chats, non-streaming chats
// and bookings for the daemons of a fault-injection scenario. Its callers retry
// refused requests and resume broken streams through other daemons. All random
// choices are derived from a seed.
package mixed
