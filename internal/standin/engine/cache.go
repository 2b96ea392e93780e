package engine

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the length of a cached block of a prompt.
const blockTokens = 16

// CacheEventKind says what happened to a block.
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
	// Block is the hash of the prompt from its start to the block's end.
	Block uint64    `json:"block"`
	At    time.Time `json:"at"`
}

// prefixCache keeps prompt blocks, the least recently used leaving first.
type prefixCache struct {
	blocks    int // capacity
	order     *list.List
	byHash    map[uint64]*list.Element
	events    []CacheEvent
	seq       uint64
	lag       time.Duration
	gap       float64
	gapChoice *rand.Rand
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		blocks:    o.CacheTokens / blockTokens,
		order:     list.New(),
		byHash:    make(map[uint64]*list.Element),
		lag:       o.EventLag,
		gap:       o.EventGap,
		gapChoice: rand.New(rand.NewPCG(uint64(o.Seed), 0)),
	}
}

// use touches and stores the prompt's blocks and returns how many of its
// tokens, from the start, were cached.
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

func blockHash(before uint64, words []string) uint64 {
	key := binary.LittleEndian.AppendUint64(nil, before)
	return xxhash.Sum64(append(key, strings.Join(words, " ")...))
}

func (c *prefixCache) store(hash uint64, now time.Time) {
	c.byHash[hash] = c.order.PushFront(hash)
	c.note(BlockStored, hash, now)
	for c.order.Len() > c.blocks {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.byHash, oldest)
		c.note(BlockEvicted, oldest, now)
	}
}

func (c *prefixCache) clear(now time.Time) {
	c.order.Init()
	clear(c.byHash)
	c.note(CacheCleared, 0, now)
}

// note counts the event and keeps it, unless it is one of the gaps.
func (c *prefixCache) note(kind CacheEventKind, hash uint64, now time.Time) {
	c.seq++
	if c.gapChoice.Float64() < c.gap {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Block: hash, At: now})
}

func (c *prefixCache) list(since uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > since && !e.At.Add(c.lag).After(now) {
			out = append(out, e)
		}
	}
	return out
}
