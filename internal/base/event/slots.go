package event

// Slots of contended engines on an entry host.
var (
	EnginesContended = register(Event{
		Number: 8243, Name: "engines-contended",
		Meaning: "This daemon, which is the holder, has begun or ended to grant the slots of engines, because all slots of an engine were in use or it was calm again. The number of contended engines, the first of them and the daemon whose report led to it are given.",
		Action:  "Engines that stay contended for long lack copies of their models elsewhere: see load-ordered.",
	})
	SlotContact = register(Event{
		Number: 8244, Name: "slot-contact",
		Meaning: "While engines are contended, the holder's grants of their slots came again, or none came for some time, so that this daemon sends requests there at its own part of their rate.",
		Action:  "Look for holder-contact and the age of the holder's replies.",
	})
)
