package orderforward

// nameHash hashes the ID of a server or the name of a forwarder by FNV-1a. It is computed for each call; package hash/fnv
// would allocate.
func nameHash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h)
}

// mix is the finalizer of MurmurHash3. FNV alone spreads names that differ in their last characters badly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// assign returns the index of the forwarder of a server by rendezvous hashing, or -1 if there are no forwarders. When a
// forwarder is added or removed, only servers that it gains or had are assigned anew.
func assign(server string, forwarders []uint64) int {
	hash, best, highest := nameHash(server), -1, uint64(0)
	for i, f := range forwarders {
		if score := mix(hash ^ f); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}
