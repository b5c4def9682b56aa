package fleet

import "time"

// Notice is what a response says of its upstream, whichever request it answers.
type Notice struct {
	// Limited is set if the upstream names a rate limit, and PerSecond is the number of
	// requests a second that it takes from all daemons together.
	Limited   bool
	PerSecond float64
	// Leaving is set if the upstream is going to end and must get no new requests.
	Leaving bool
	// Pause is how long the upstream wants no request from this daemon, 0 if it doesn't
	// say.
	Pause time.Duration
	// Brittle is set if the upstream fails once it has to turn more than MaxRejections
	// requests a second away for want of room.
	Brittle       bool
	MaxRejections int
	// Full is set if the upstream turned the request away for want of room.
	Full bool
}
