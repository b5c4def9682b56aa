// Package servsv is a stand-in for a plain service: bookings and engraving
// orders, which must not be repeated, and availability look-ups.
//
// POST /bookings and POST /engravings run once for each call that arrives;
// the service itself does not compare idempotency keys, so a repeated call
// shows in its records as a second run. GET /availability changes nothing.
package servsv
