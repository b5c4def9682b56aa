package event

// Events of requests and routing.
var (
	Routed = register(Event{
		Number: 2100, Name: "request-routed",
		Meaning: "A request was sent to an upstream; the reason and what was weighed are given.",
	})
	RequestRefused = register(Event{
		Number: 2101, Name: "request-refused",
		Meaning: "A request was refused; the reason, whether it was run, and the retry delay are given.",
	})
	StreamBroken = register(Event{
		Number: 2102, Name: "stream-broken", Severity: Error,
		Meaning: "An engine's token stream broke; the answer is continued from the next token.",
	})
	StreamResumed = register(Event{
		Number: 2103, Name: "stream-resumed",
		Meaning: "An answer goes on at the exact place, on the same or another engine.",
	})
	CallRouted = register(Event{
		Number: 2110, Name: "call-routed",
		Meaning: "A call of a plain service was sent to an upstream.",
	})
	CallRefused = register(Event{
		Number: 2111, Name: "call-refused",
		Meaning: "A call of a plain service was refused; the reason and whether it was run are given.",
	})
	OutcomeUnknown = register(Event{
		Number: 2112, Name: "call-outcome-unknown", Severity: Error,
		Meaning: "A non-idempotent call may have run without an answer; it is never run again.",
		Action:  "The caller checks with the service whether it took effect.",
	})
)
