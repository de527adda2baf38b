package pick

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
)

// score returns the weighted rendezvous score of a server for the hash of a key: -weight / ln(u), with u in (0, 1) derived
// from the hashes of both. The source is Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (SPAA 2005).
// The score in forward/place is another one, without weights.
func score(keyHash uint64, server *member.Server) float64 {
	const bits = 53

	hash := mixHash(keyHash ^ mixHash(xxhash.Sum64String(server.Name)))
	unit := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)

	return -server.Weight / math.Log(unit)
}

// mixHash is the finalizer of MurmurHash3: each input bit affects every output bit, so that the combination of two hashes is
// uniformly distributed.
func mixHash(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	hash ^= hash >> 33

	return hash
}

// candidate is a server with its load state.
type candidate struct {
	*member.Server
	state *loadState
}

// rank returns the servers with the highest scores for the key in descending order, at most size of them. In forward/place,
// a rank is instead the position of one server.
func rank(key string, servers []*member.Server, size int) []*member.Server {
	size = min(size, len(servers))
	best := make([]*member.Server, 0, size)
	scores := make([]float64, 0, size)
	keyHash := xxhash.Sum64String(key)

	for _, server := range servers {
		value := score(keyHash, server)

		if len(best) < size {
			best = append(best, nil)
			scores = append(scores, 0)
		} else if size == 0 || value <= scores[size-1] {
			continue
		}

		at := len(best) - 1

		for at > 0 && scores[at-1] < value {
			best[at], scores[at] = best[at-1], scores[at-1]
			at--
		}

		best[at], scores[at] = server, value
	}

	return best
}
