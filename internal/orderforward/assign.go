package orderforward

import "slices"

// nameHash hashes the ID of a server by FNV-1a. It is computed for each call; package hash/fnv would allocate.
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

// slotHash returns the hash of a slot. Servers are assigned to slots, and each slot is filled by a forwarder: when a
// forwarder is lost and another one fills its slot, only the servers of that slot get another forwarder.
func slotHash(slot int) uint64 { return mix(uint64(slot) + 1) }

// assign returns the index of the slot of a server by rendezvous hashing, or -1 if there are none. When a slot is added or
// removed, only servers that it gains or had are assigned anew.
func assign(server string, slots []uint64) int {
	hash, best, highest := nameHash(server), -1, uint64(0)
	for i, s := range slots {
		if score := mix(hash ^ s); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// fillSlots returns n slots, or as many as there are candidates. Forwarders that are still candidates keep their slots; empty
// slots are filled in the order of the candidates.
func fillSlots(slots []string, n int, candidates []string) []string {
	filled := make([]string, min(n, len(candidates)))
	for i, name := range slots {
		if i < len(filled) && slices.Contains(candidates, name) {
			filled[i] = name
		}
	}
	for i := range filled {
		for _, name := range candidates {
			if filled[i] == "" && !slices.Contains(filled, name) {
				filled[i] = name
			}
		}
	}
	return filled
}
