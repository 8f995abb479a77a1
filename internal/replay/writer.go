package replay

import "github.com/cespare/xxhash/v2"

// Writer returns the name that rendezvous hashing chooses for a key, or "" when
// there are no names. Readers with the same names choose the same one.
func Writer(key string, names []string) string {
	chosen := ""
	var highest uint64
	for _, name := range names {
		score := xxhash.Sum64String(key + "\x00" + name)
		if chosen == "" || score > highest || (score == highest && name < chosen) {
			chosen, highest = name, score
		}
	}
	return chosen
}
