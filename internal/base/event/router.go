package event

// Requests and routing.
var (
	Routed = register(Event{
		Number: 2100, Name: "request-routed",
		Meaning: "A request was sent to an upstream; the reason and the inputs of the choice are given.",
	})
	RequestRefused = register(Event{
		Number: 2101, Name: "request-refused",
		Meaning: "A request was refused; the reason, whether an upstream ran it, and the retry delay are given.",
	})
	StreamBroken = register(Event{
		Number: 2102, Name: "stream-broken", Severity: Error,
		Meaning: "An engine's token stream was interrupted; the response continues from the next token.",
	})
	StreamResumed = register(Event{
		Number: 2103, Name: "stream-resumed",
		Meaning: "A response continues from the next token, on the same or another engine.",
	})
	SilenceKept = register(Event{
		Number: 2104, Name: "silent-upstream-kept",
		Meaning: "No other engine takes the place of one that is silent; the request goes on waiting for it. The reason is given.",
		Action:  "With no-token, find the upstreams whose failures consumed the retry budget.",
	})
	CancelFailed = register(Event{
		Number: 2105, Name: "engine-cancel-failed",
		Meaning: "A run that isn't needed, because a silent engine went on, could not be cancelled; it runs to its end.",
	})
	CallRouted = register(Event{
		Number: 2110, Name: "call-routed",
		Meaning: "A call to a plain service was sent to an upstream.",
	})
	CallRefused = register(Event{
		Number: 2111, Name: "call-refused",
		Meaning: "A call to a plain service was refused; the reason and whether an upstream ran it are given.",
	})
	OutcomeUnknown = register(Event{
		Number: 2112, Name: "call-outcome-unknown", Severity: Error,
		Meaning: "A non-idempotent call may have run, but no response arrived; it is never run again.",
		Action:  "The caller checks with the service whether it took effect.",
	})
)
