package claims

type (
	// Result is the result of a query for a key.
	Result interface{ result() }

	// Free means that no claim holds the key. It does not guarantee that a
	// claim record will be accepted, because the key may have expired since
	// the last record.
	Free struct{}

	// Granted means that the claim that was asked for holds the key.
	Granted struct{ ID ID }

	// Finished holds the stored response of the key's request.
	Finished struct {
		ID ID
		StoredResponse
	}

	// Unknown means that the key is or may be claimed and has no response.
	Unknown struct{ ID ID }

	// Expired means that the key is older than the window.
	Expired struct{}

	// Mismatch means that the key is claimed for a request with another
	// digest.
	Mismatch struct {
		// Final is set if the other request has a response, so that no
		// request with the digest of the query ran or will run under the key.
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

// Query returns the state of k for a request with digest d. The result is
// Granted only if the claim id holds the key; a zero id stands for no claim.
func (s *State) Query(k Key, d Digest, id ID) Result {
	if s.expired(k) {
		return Expired{}
	}
	e, ok := s.keys[k]
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

// CheckHolder returns Accepted if the claim id holds k without a response,
// AlreadyDone if it holds k with one, and NotHolder otherwise.
func (s *State) CheckHolder(k Key, id ID) Reason {
	e, ok := s.keys[k]
	switch {
	case !ok || e.id != id:
		return NotHolder
	case e.response != nil:
		return AlreadyDone
	default:
		return Accepted
	}
}
