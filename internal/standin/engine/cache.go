package engine

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the length of a cached block of a prompt, in tokens.
const blockTokens = 16

// CacheEventKind is the kind of a change to the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	BlockStored  CacheEventKind = "stored"
	BlockEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	// Block is the hash of the prompt from its start to the block's end; 0 for CacheCleared.
	Block uint64    `json:"block"`
	At    time.Time `json:"at"`
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	capacity int // largest number of blocks
	order    *list.List
	byHash   map[uint64]*list.Element
	events   []CacheEvent
	seq      uint64
	lag      time.Duration
	lossRate float64
	lossRand *rand.Rand
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity: o.CacheTokens / blockTokens,
		order:    list.New(),
		byHash:   make(map[uint64]*list.Element),
		lag:      o.EventLag,
		lossRate: o.EventGap,
		lossRand: rand.New(rand.NewPCG(uint64(o.Seed), 0)),
	}
}

// use marks the prompt's cached blocks as used and stores the others. It returns how many of
// the prompt's tokens, from the start, were cached.
func (c *prefixCache) use(prompt string, now time.Time) int {
	words := strings.Fields(prompt)
	cached := 0
	var hash uint64
	for end := blockTokens; end <= len(words); end += blockTokens {
		hash = blockHash(hash, words[end-blockTokens:end])
		if e, ok := c.byHash[hash]; ok {
			c.order.MoveToFront(e)
			cached = end
			continue
		}
		c.store(hash, now)
	}
	return cached
}

// blockHash returns the hash of a block, given the hash of the blocks before it.
func blockHash(prefixHash uint64, words []string) uint64 {
	key := binary.LittleEndian.AppendUint64(nil, prefixHash)
	return xxhash.Sum64(append(key, strings.Join(words, " ")...))
}

func (c *prefixCache) store(hash uint64, now time.Time) {
	c.byHash[hash] = c.order.PushFront(hash)
	c.record(BlockStored, hash, now)
	for c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.byHash, oldest)
		c.record(BlockEvicted, oldest, now)
	}
}

func (c *prefixCache) clear(now time.Time) {
	c.order.Init()
	clear(c.byHash)
	c.record(CacheCleared, 0, now)
}

// record assigns the next sequence number to an event and keeps the event, unless it is one of
// those that are to be lost.
func (c *prefixCache) record(kind CacheEventKind, hash uint64, now time.Time) {
	c.seq++
	if c.lossRand.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Block: hash, At: now})
}

// list returns the events after a sequence number that are older than the lag.
func (c *prefixCache) list(since uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > since && !e.At.Add(c.lag).After(now) {
			out = append(out, e)
		}
	}
	return out
}
