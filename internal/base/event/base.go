package event

// Events of settings and start-up.
var (
	DaemonStarted = register(Event{
		Number: 1000, Name: "daemon-started",
		Meaning: "The daemon has read its settings and listens.",
	})
)
