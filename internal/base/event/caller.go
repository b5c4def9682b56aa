package event

// Events of the interface to callers.
var (
	CallerFailed = register(Event{
		Number: 2050, Name: "caller-request-failed", Severity: Error,
		Meaning: "A request failed with an error that has no refusal kind; the caller got internal.",
		Action:  "Report the error; it is a fault of azurespan.",
	})
	CallerPanic = register(Event{
		Number: 2051, Name: "caller-request-panicked", Severity: Error,
		Meaning: "A component failed while it served a request; the caller got internal or a broken answer.",
		Action:  "Report the stack; it is a fault of azurespan.",
	})
	CallerAnswerBroken = register(Event{
		Number: 2052, Name: "caller-answer-broken",
		Meaning: "A streamed answer broke off after its start; the caller can resume it.",
		Action:  "Look for the upstream's failure if this is frequent.",
	})
	CallerSlowReader = register(Event{
		Number: 2053, Name: "caller-slow-reader",
		Meaning: "A streamed answer was cut because the caller read too slowly; the caller can resume it.",
	})
	CallerConnectionError = register(Event{
		Number: 2054, Name: "caller-connection-error",
		Meaning: "net/http reports a failure on a caller's connection.",
	})
)
