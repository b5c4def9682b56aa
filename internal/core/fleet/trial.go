package fleet

type (
	// TrialReport tells the holder of the requests at a daemon under which upstreams have
	// crashed, as the keys of the crash histories that repetitions of a request have in
	// common. One of them at a time is run, which is its trial.
	TrialReport struct {
		// ID numbers the reports of a process, and Heard is that of the last one whose
		// reply has arrived.
		ID, Heard uint64
		// Table is the holder's table that the daemon last heard of, and Known the
		// revision of the contested keys in it that the daemon knows.
		Table, Known uint64
		// Crashed has the keys of each run that ended with its upstream, in the order
		// of their numbers, the first of which is FirstRun. Runs that the holder has
		// confirmed are left out.
		Crashed  [][]string
		FirstRun uint64
		// Wanted has the keys of each request that waits for the right to be run, and
		// Running those of the ones that have it.
		Wanted, Running [][]string
		// Answered are the contested keys whose requests have been answered here since
		// the daemon knows that they are contested.
		Answered []string
	}

	// TrialReply answers a TrialReport.
	TrialReply struct {
		// ID is that of the report, and Table distinguishes the holder's table from those
		// of other tenures and processes.
		ID, Table uint64
		// Contested are the keys whose requests need the right to be run wherever they
		// are, as of revision Rev; they are left out if the daemon knows that revision.
		Contested []string
		Rev       uint64
		// Assigned are the keys for which the daemon may now run one request.
		Assigned []string
	}
)
