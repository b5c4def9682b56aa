package event

// Daemon start-up.
var (
	DaemonStarted = register(Event{
		Number: 1000, Name: "daemon-started",
		Meaning: "The daemon has read its settings and is listening.",
	})
)
