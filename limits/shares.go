package limits

// evenPart of each limit is shared out evenly whatever the demand, so that an
// entry at which demand begins can admit at once.
const evenPart = 0.1

// Shares returns this entry's share of each row's limits, given what is known
// of all entries' demand, and the share of rows of which nothing is known. Over
// all entries the shares of a row sum to 1, as far as the means are accurate.
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

// shareOf is an entry's share of one row's limits; even is 1 over the entries.
func shareOf(own, mean, even float64) float64 {
	if mean < minDemand*even {
		return even
	}
	part := min(own/mean*even, 1)
	return (1-evenPart)*part + evenPart*even
}
