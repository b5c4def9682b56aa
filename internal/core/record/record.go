package record

type (
	// Record is one record of the control stream.
	Record interface{ record() }

	// Publish offers a new configuration. It is accepted if Replaces is the
	// version in force at its offset.
	Publish struct {
		// Publication identifies the attempt, so that its operator can find
		// it in the stream after a lost answer.
		Publication string `json:"publication"`
		// Operator names who published.
		Operator string `json:"operator"`
		// Replaces is the version that the operator started from, 0 for none.
		Replaces uint64 `json:"replaces"`
		// Config is a declare.Deployment in JSON.
		Config []byte `json:"config"`
	}

	// TakeOwnership makes Daemon the owner of Upstream if Previous is the
	// current epoch (0 for none). The record's offset is the new epoch.
	TakeOwnership struct {
		Upstream string `json:"upstream"`
		Daemon   string `json:"daemon"`
		Previous uint64 `json:"previous"`
	}

	// AcknowledgeLoss states that Daemon, which took ownership at Epoch,
	// has no order in flight and will send none. For the current owner it
	// is a resignation.
	AcknowledgeLoss struct {
		Upstream string `json:"upstream"`
		Daemon   string `json:"daemon"`
		Epoch    uint64 `json:"epoch"`
	}

	// HostGone states that the platform has reported the host gone for good.
	// It acknowledges all losses of daemons that ran on it, and withdraws the
	// grants of the upstream of that name.
	HostGone struct {
		Host string `json:"host"`
	}

	// Grant declares that the owner may load a model version on Upstream.
	Grant struct {
		Upstream string `json:"upstream"`
		Epoch    uint64 `json:"epoch"`
		Model    string `json:"model"`
		Version  string `json:"version"`
	}

	// Release withdraws a grant after a confirmed unload. GrantedAt is the
	// offset of the grant: an append that takes effect late must not release
	// a later grant of the same replica.
	Release struct {
		Upstream  string `json:"upstream"`
		Epoch     uint64 `json:"epoch"`
		Model     string `json:"model"`
		Version   string `json:"version"`
		GrantedAt uint64 `json:"granted-at"`
	}

	// Snapshot holds the fold of all records up to and including AsOf.
	Snapshot struct {
		AsOf  uint64 `json:"as-of"`
		State []byte `json:"state"`
	}
)

var (
	_ Record = Publish{}
	_ Record = TakeOwnership{}
	_ Record = AcknowledgeLoss{}
	_ Record = HostGone{}
	_ Record = Grant{}
	_ Record = Release{}
	_ Record = Snapshot{}
)

func (Publish) record()         {}
func (TakeOwnership) record()   {}
func (AcknowledgeLoss) record() {}
func (HostGone) record()        {}
func (Grant) record()           {}
func (Release) record()         {}
func (Snapshot) record()        {}
