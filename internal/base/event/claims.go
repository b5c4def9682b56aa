package event

// Claims partitions.
var (
	PartitionAcquired = register(Event{
		Number: 4000, Name: "claims-partition-taken",
		Meaning: "This daemon has become the owner of a claims partition and serves claim requests for it.",
	})
	PartitionLost = register(Event{
		Number: 4001, Name: "claims-partition-lost",
		Meaning: "Another daemon has become the owner of a claims partition that this daemon owned.",
	})
	ClaimsUnreadable = register(Event{
		Number: 4002, Name: "claims-stream-unreadable", Severity: Error,
		Meaning: "A claims stream can't be read; non-idempotent requests with keys in the partition are refused.",
		Action:  "Check the log service and the network path to it.",
	})
	ClaimsRecordSkipped = register(Event{
		Number: 4003, Name: "claims-record-skipped", Severity: Error,
		Meaning: "A claims record can't be decoded and is skipped by all daemons.",
		Action:  "Find out which program wrote it to the stream.",
	})
	ClaimsGap = register(Event{
		Number: 4004, Name: "claims-gap",
		Meaning: "The log deleted records of a claims stream before this daemon had read them; the partition's state is rebuilt from the oldest record.",
	})
	ClaimAbandoned = register(Event{
		Number: 4005, Name: "claim-abandoned",
		Meaning: "A claim was refused at its deadline although its record may be in the log; the claim is withdrawn as soon as the log accepts records.",
	})
)
