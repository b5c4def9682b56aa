// Package servsv simulates a plain service for tests: bookings and engraving
// orders, which are not idempotent, and availability queries.
//
// POST /bookings and POST /engravings are executed once for each call that
// arrives. The service does not compare idempotency keys, so a repeated call
// appears in its event log as a second run. GET /availability changes nothing.
package servsv
