package flow

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// cacheWays is the number of entries in each set of the cache.
const cacheWays = 8

// cacheEntry occupies 24 bytes. An entry with owner 0 is empty.
type cacheEntry struct {
	hash     uint64 // of the flow's key
	owner    place.ID
	lastUsed uint32 // seconds since the Unix epoch
}

// Cache is a set-associative cache of the owners of recent flows, of fixed size.
// A flow without an entry takes one more hop but does not break. A Cache is not
// safe for concurrent use.
type Cache struct {
	sets [][cacheWays]cacheEntry
	mask uint64
}

// entriesPerFlow is the number of entries allocated for each flow. With one entry,
// a fifth of the flows would be evicted because their sets are full.
const entriesPerFlow = 2

// NewCache returns a cache sized for at least the given number of flows.
func NewCache(flows int) *Cache {
	sets := 1
	for sets*cacheWays < entriesPerFlow*flows {
		sets *= 2
	}
	return &Cache{sets: make([][cacheWays]cacheEntry, sets), mask: uint64(sets - 1)}
}

// Bytes returns the memory that the entries occupy.
func (c *Cache) Bytes() int { return len(c.sets) * cacheWays * 24 }

// Get returns the owner of the flow with the given hash, or 0 if it has no entry.
func (c *Cache) Get(now clock.Millis, hash uint64) place.ID {
	set := &c.sets[hash&c.mask]
	for i := range set {
		if set[i].hash == hash && set[i].owner != 0 {
			set[i].lastUsed = uint32(now / clock.Second)
			return set[i].owner
		}
	}
	return 0
}

// Put stores the owner of a flow. If the flow's set is full, it replaces the least
// recently used entry.
func (c *Cache) Put(now clock.Millis, hash uint64, owner place.ID) {
	set := &c.sets[hash&c.mask]
	index := 0
	for i := range set {
		if set[i].hash == hash || set[i].owner == 0 {
			index = i
			break
		}
		if set[i].lastUsed < set[index].lastUsed {
			index = i
		}
	}
	set[index] = cacheEntry{hash, owner, uint32(now / clock.Second)}
}

// Delete removes the entry of a flow.
func (c *Cache) Delete(hash uint64) {
	set := &c.sets[hash&c.mask]
	for i := range set {
		if set[i].hash == hash {
			set[i] = cacheEntry{}
		}
	}
}
