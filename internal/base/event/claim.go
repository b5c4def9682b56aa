package event

// ClaimReportFailed concerns non-idempotent calls.
var ClaimReportFailed = register(Event{
	Number: 4100, Name: "claim-report-failed", Severity: Error,
	Meaning: "The outcome of a non-idempotent call could not be recorded in time; a caller that repeats the call is told that its outcome is unknown.",
	Action:  "If it recurs, check the log service.",
})
