package event

// ClaimReportFailed belongs to non-idempotent calls.
var ClaimReportFailed = register(Event{
	Number: 4100, Name: "claim-report-failed", Severity: Error,
	Meaning: "The end of a non-idempotent call could not be recorded in time; a caller that sends it again is told that the outcome is unknown.",
	Action:  "If it repeats, look at the log service.",
})
