// Package mixed sends streamed chats, whole chats and bookings to the daemons
// of a failure scenario, as callers that send refused requests again through
// other daemons and resume broken streams. All choices come from a seed.
package mixed
