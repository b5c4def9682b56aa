package origin

// Group is streams of one service and version, a third of the size on the wire.
type Group struct {
	Service, Version string
	IDs              []uint64
}

// Groups returns streams by service and version, in the order of the first of each.
func Groups(streams []Stream) (groups []Group) {
	at := map[[2]string]int{}
	for _, s := range streams {
		k := [2]string{s.Service, s.Version}
		i, ok := at[k]
		if !ok {
			i = len(groups)
			at[k] = i
			groups = append(groups, Group{Service: s.Service, Version: s.Version})
		}
		groups[i].IDs = append(groups[i].IDs, s.ID)
	}
	return groups
}

// Streams returns the streams of groups.
func Streams(groups []Group) (streams []Stream) {
	for _, g := range groups {
		for _, id := range g.IDs {
			streams = append(streams, Stream{id, g.Service, g.Version})
		}
	}
	return streams
}
