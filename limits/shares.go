package limits

// evenPart is the part of each limit that is divided evenly among the entries whatever
// the demand, so that an entry where demand starts can admit requests at once.
const evenPart = 0.1

// Shares returns this entry's share of each row's limits for the known mean demand, and
// the share of rows whose demand is not known. The shares of a row over all entries sum
// to 1, as far as the means are accurate.
func Shares(m Mean, entries int) (share map[string]float64, fallback float64) {
	even := 1 / float64(max(entries, 1))
	if m.Mean == nil {
		return nil, even
	}
	share = make(map[string]float64, len(m.Mean))
	for row, mean := range m.Mean {
		share[row] = shareOf(m.Own[row], mean, even)
	}
	return share, even
}

// shareOf returns an entry's share of one row's limits; even is 1 over the number of entries.
func shareOf(own, mean, even float64) float64 {
	if mean < minDemand*even {
		return even
	}
	part := min(own/mean*even, 1)
	return (1-evenPart)*part + evenPart*even
}
