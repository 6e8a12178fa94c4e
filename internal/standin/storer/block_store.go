package storer

import (
	"container/list"
	"fmt"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// blockState is the state of one generation of a block.
type blockState int

const (
	stateWriting blockState = iota
	stateWritten
	stateCommitted
)

// block is one generation of one block in a tier.
type block struct {
	ref     messenger.BlockRef
	payload []byte
	state   blockState
	onDisk  bool
	element *list.Element
}

// blockStore holds the blocks of a store host in a memory and a disk tier, each
// ordered by last use. Storer.mu guards it.
type blockStore struct {
	maxMemoryBlocks int
	maxDiskBlocks   int
	lastGeneration  uint64
	// byGeneration holds all blocks, and committed the readable block of each key.
	byGeneration map[uint64]*block
	committed    map[identifier.BlockKey]*block
	// memory and disk list the blocks of each tier, most recently used first.
	memory  list.List
	disk    list.List
	evicted int
}

func newBlockStore(memoryBlocks, diskBlocks int) *blockStore {
	s := &blockStore{maxMemoryBlocks: memoryBlocks, maxDiskBlocks: diskBlocks}
	s.clear()
	return s
}

// clear frees all blocks. It keeps lastGeneration, so that no generation is reused.
func (s *blockStore) clear() {
	s.byGeneration = make(map[uint64]*block)
	s.committed = make(map[identifier.BlockKey]*block)
	s.memory.Init()
	s.disk.Init()
}

// beginWrite makes space for a new generation of key and returns it. It isn't
// readable until its commit.
func (s *blockStore) beginWrite(key identifier.BlockKey) uint64 {
	s.lastGeneration++
	b := &block{ref: messenger.BlockRef{Key: key, Generation: s.lastGeneration}}
	s.byGeneration[s.lastGeneration] = b
	b.element = s.memory.PushFront(b)
	s.spill()
	return s.lastGeneration
}

// finishWrite stores the payload of a generation that beginWrite returned. It fails
// if the generation was freed meanwhile.
func (s *blockStore) finishWrite(generation uint64, payload []byte, checksum uint64) (messenger.BlockRef, error) {
	b, ok := s.byGeneration[generation]
	if !ok {
		return messenger.BlockRef{}, newError("write block", KindFreed, errors.Newf("generation %d was freed", generation))
	}
	b.payload = payload
	b.ref.Checksum = checksum
	b.state = stateWritten
	return b.ref, nil
}

// commit makes a written generation readable and frees the previous one of its key.
// If a later generation is committed already, it frees the written one instead.
func (s *blockStore) commit(ref messenger.BlockRef) error {
	b, ok := s.byGeneration[ref.Generation]
	switch {
	case !ok || b.ref.Key != ref.Key:
		return newError("commit block", KindMissing, errors.Newf("block %v has no generation %d", ref.Key, ref.Generation))
	case b.state == stateWriting:
		return newError("commit block", KindPartial, errors.Newf("generation %d of block %v is being written", ref.Generation, ref.Key))
	case b.ref.Checksum != ref.Checksum:
		return newError("commit block", KindChecksum, errors.Newf("block %v has checksum %d, not %d", ref.Key, b.ref.Checksum, ref.Checksum))
	}
	old := s.committed[ref.Key]
	if old != nil && old.ref.Generation > ref.Generation {
		s.freeBlock(b)
		return newError("commit block", KindGeneration, errors.Newf("block %v has the later generation %d", ref.Key, old.ref.Generation))
	}
	if old != nil && old != b {
		s.freeBlock(old)
	}
	b.state = stateCommitted
	s.committed[ref.Key] = b
	return nil
}

// read returns a block if its committed generation is the given one.
func (s *blockStore) read(key identifier.BlockKey, generation uint64) (*block, error) {
	if b := s.byGeneration[generation]; b != nil && b.ref.Key == key && b.state != stateCommitted {
		return nil, newError("read block", KindPartial, errors.Newf("generation %d of block %v is not committed", generation, key))
	}
	b := s.committed[key]
	if b == nil {
		return nil, newError("read block", KindMissing, errors.Newf("block %v is not stored", key))
	}
	if b.ref.Generation != generation {
		return nil, newError("read block", KindGeneration, errors.Newf("block %v has generation %d, not %d", key, b.ref.Generation, generation))
	}
	return b, nil
}

// markUsed marks b as most recently used and moves it to the memory tier.
func (s *blockStore) markUsed(b *block) {
	if !b.onDisk {
		s.memory.MoveToFront(b.element)
		return
	}
	s.disk.Remove(b.element)
	b.onDisk = false
	b.element = s.memory.PushFront(b)
	s.spill()
}

// freeKey frees one generation of key, or all of them if generation is 0, and
// returns the number of freed generations.
func (s *blockStore) freeKey(key identifier.BlockKey, generation uint64) int {
	n := 0
	for _, b := range s.byGeneration {
		if b.ref.Key != key || (generation != 0 && generation != b.ref.Generation) {
			continue
		}
		s.freeBlock(b)
		n++
	}
	return n
}

// lookup returns the committed blocks of keys up to the first key without one.
func (s *blockStore) lookup(keys []identifier.BlockKey) []messenger.LookupBlock {
	found := make([]messenger.LookupBlock, 0, len(keys))
	for _, key := range keys {
		b := s.committed[key]
		if b == nil {
			break
		}
		found = append(found, messenger.LookupBlock{BlockRef: b.ref, OnDisk: b.onDisk})
	}
	return found
}

// freeCapacity returns the number of blocks that can be added without an eviction.
func (s *blockStore) freeCapacity() int {
	return s.maxMemoryBlocks + s.maxDiskBlocks - s.memory.Len() - s.disk.Len()
}

// spill moves blocks from an overfull memory tier to the disk tier, and evicts
// blocks from an overfull disk tier.
func (s *blockStore) spill() {
	for s.memory.Len() > s.maxMemoryBlocks {
		b := s.memory.Back().Value.(*block)
		if s.maxDiskBlocks == 0 {
			s.evict(b)
			continue
		}
		s.memory.Remove(b.element)
		b.onDisk = true
		b.element = s.disk.PushFront(b)
	}
	for s.disk.Len() > s.maxDiskBlocks {
		s.evict(s.disk.Back().Value.(*block))
	}
}

func (s *blockStore) evict(b *block) {
	s.evicted++
	s.freeBlock(b)
}

func (s *blockStore) freeBlock(b *block) {
	if b.onDisk {
		s.disk.Remove(b.element)
	} else {
		s.memory.Remove(b.element)
	}
	delete(s.byGeneration, b.ref.Generation)
	if s.committed[b.ref.Key] == b {
		delete(s.committed, b.ref.Key)
	}
}

// String returns the number of blocks in each tier.
func (s *blockStore) String() string {
	return fmt.Sprintf("%d blocks in memory and %d on disk", s.memory.Len(), s.disk.Len())
}
