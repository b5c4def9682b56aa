package event

// The HTTP interface for callers.
var (
	CallerFailed = register(Event{
		Number: 2050, Name: "caller-request-failed", Severity: Error,
		Meaning: "A request failed with an error that has no refusal kind; the caller received the kind internal.",
		Action:  "Report the error; it is a bug in azurespan.",
	})
	CallerPanic = register(Event{
		Number: 2051, Name: "caller-request-panicked", Severity: Error,
		Meaning: "A component panicked while it served a request; the caller received the kind internal or a truncated response.",
		Action:  "Report the stack; it is a bug in azurespan.",
	})
	CallerAnswerBroken = register(Event{
		Number: 2052, Name: "caller-answer-broken",
		Meaning: "A streamed response broke off after its start; the caller can resume it.",
		Action:  "If it is frequent, look for failures of the upstream.",
	})
	CallerSlowReader = register(Event{
		Number: 2053, Name: "caller-slow-reader",
		Meaning: "A streamed response was cut off because the caller read too slowly; the caller can resume it.",
	})
	AccountRefused = register(Event{
		Number: 2056, Name: "account-refused",
		Meaning: "A request was refused for its key: the configuration has no account with it (401), or the daemon can't know whether it holds (503). The account, if the key is one of its, the version of the configuration and the time since it was known to be the newest are given.",
		Action:  "At 503, look for log-unreachable. At 401, compare the version with the one in force.",
	})
	CallerConnectionError = register(Event{
		Number: 2054, Name: "caller-connection-error",
		Meaning:   "net/http reported an error on a caller's connection. At most one line a second.",
		PerSecond: 1,
	})
)
