package record

type (
	// Record is one record of the control stream.
	Record interface{ record() }

	// Publish proposes a new configuration. It is accepted if the version in
	// force at its offset is Replaces.
	Publish struct {
		// Publication identifies the attempt, so that its operator can find
		// it in the stream if the response to the append was lost.
		Publication string `json:"publication"`
		// Operator is the name of the publisher.
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

	// AcknowledgeLoss states that Daemon, which took ownership at Epoch, has
	// no order in flight and will send none. From the current owner it is a
	// resignation.
	AcknowledgeLoss struct {
		Upstream string `json:"upstream"`
		Daemon   string `json:"daemon"`
		Epoch    uint64 `json:"epoch"`
	}

	// HostGone states that the platform has reported the host as permanently
	// gone. It acknowledges the loss of every ownership of the daemons that
	// ran on the host and removes the grants of the upstream of that name.
	HostGone struct {
		Host string `json:"host"`
	}

	// Grant allows the owner to load a model version on Upstream.
	Grant struct {
		Upstream string `json:"upstream"`
		Epoch    uint64 `json:"epoch"`
		Model    string `json:"model"`
		Version  string `json:"version"`
	}

	// Release ends a grant after a confirmed unload. GrantedAt is the offset
	// of the grant, so that an append that takes effect late does not release
	// a later grant of the same replica.
	Release struct {
		Upstream  string `json:"upstream"`
		Epoch     uint64 `json:"epoch"`
		Model     string `json:"model"`
		Version   string `json:"version"`
		GrantedAt uint64 `json:"granted-at"`
	}

	// Snapshot holds the state after all records up to and including AsOf.
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
