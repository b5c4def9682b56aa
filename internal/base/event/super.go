package event

// The supervisor tree and shutdown.
var (
	ComponentPanicked = register(Event{
		Number: 7000, Name: "component-panicked", Severity: Error,
		Meaning: "A component of the daemon panicked and is being restarted.",
		Action:  "Report the stack; streams in progress continue.",
	})
	ComponentFailed = register(Event{
		Number: 7001, Name: "component-failed", Severity: Error,
		Meaning: "A component returned an error and is being restarted.",
	})
	SupervisorBackoff = register(Event{
		Number: 7002, Name: "supervisor-backoff", Severity: Error,
		Meaning: "Components fail so often that restarts are delayed.",
		Action:  "Look at the preceding component events; replace the host if it lasts.",
	})
	ComponentStuck = register(Event{
		Number: 7003, Name: "component-stuck", Severity: Error,
		Meaning: "A component did not stop in time during shutdown.",
	})
	DrainStarted = register(Event{
		Number: 7010, Name: "drain-started",
		Meaning: "The daemon is shutting down: it accepts no new requests, releases its ownerships and finishes the requests in progress.",
	})
	DrainFinished = register(Event{
		Number: 7011, Name: "drain-finished",
		Meaning: "No requests are in progress any more, and the process exits.",
	})
	DrainTimedOut = register(Event{
		Number: 7012, Name: "drain-timed-out", Severity: Error,
		Meaning: "Requests were still in progress when the drain timeout passed; their callers can resume through another daemon.",
		Action:  "Raise drain-timeout if responses regularly take longer.",
	})
)
