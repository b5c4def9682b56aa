package claims

type (
	// Result answers a query for a key.
	Result interface{ result() }

	// Free means that no claim holds the key. Only applying a claim record
	// decides, because the key may have expired since the last record.
	Free struct{}

	// Granted means that the asking claim holds the key.
	Granted struct{ ID ID }

	// Finished carries the stored answer.
	Finished struct {
		ID ID
		StoredResponse
	}

	// Unknown means that the key is or may be claimed and has no answer.
	Unknown struct{ ID ID }

	// Expired means that the key is older than the window.
	Expired struct{}

	// Mismatch means that the key belongs to a request with another digest.
	Mismatch struct {
		// Final is set when the other request has an answer, so that no
		// request with the asked digest ran or will run under the key.
		Final bool
	}
)

var (
	_ Result = Free{}
	_ Result = Granted{}
	_ Result = Finished{}
	_ Result = Unknown{}
	_ Result = Expired{}
	_ Result = Mismatch{}
)

func (Free) result()     {}
func (Granted) result()  {}
func (Finished) result() {}
func (Unknown) result()  {}
func (Expired) result()  {}
func (Mismatch) result() {}

// Query returns what f knows about k for a request with digest d. Granted is
// returned only if the claim id holds the key; the zero id stands for none.
func (f *State) Query(k Key, d Digest, id ID) Result {
	if f.expired(k) {
		return Expired{}
	}
	e, ok := f.keys[k]
	switch {
	case !ok:
		return Free{}
	case e.digest != d && e.uncertain:
		return Unknown{ID: e.id}
	case e.digest != d:
		return Mismatch{Final: e.response != nil}
	case e.response != nil:
		return Finished{ID: e.id, StoredResponse: *e.response}
	case e.id == id && !id.IsZero() && !e.uncertain:
		return Granted{ID: id}
	default:
		return Unknown{ID: e.id}
	}
}

// Holds returns Accepted if the claim id holds k without an answer,
// AlreadyDone if it holds k with one, and NotHolder otherwise.
func (f *State) CheckHolder(k Key, id ID) Reason {
	e, ok := f.keys[k]
	switch {
	case !ok || e.id != id:
		return NotHolder
	case e.response != nil:
		return AlreadyDone
	default:
		return Accepted
	}
}
