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
	place   *list.Element
}

// shelf holds the blocks of a store host in two tiers, each in the order of
// last use. Its owner guards it.
type shelf struct {
	memoryBlocks int
	diskBlocks   int
	generation   uint64
	// generations finds each block; committed finds the readable one of a key.
	generations map[uint64]*block
	committed   map[identifier.BlockKey]*block
	memory      list.List
	disk        list.List
	evicted     int
}

func newShelf(memoryBlocks, diskBlocks int) *shelf {
	s := &shelf{memoryBlocks: memoryBlocks, diskBlocks: diskBlocks}
	s.clear()
	return s
}

// clear frees all blocks. Generations keep rising.
func (s *shelf) clear() {
	s.generations = make(map[uint64]*block)
	s.committed = make(map[identifier.BlockKey]*block)
	s.memory.Init()
	s.disk.Init()
}

// begin makes space for a new generation of key. Until its commit it is partial.
func (s *shelf) begin(key identifier.BlockKey) uint64 {
	s.generation++
	b := &block{ref: messenger.BlockRef{Key: key, Generation: s.generation}}
	s.generations[s.generation] = b
	b.place = s.memory.PushFront(b)
	s.spill()
	return s.generation
}

// fill stores the bytes of a generation that begin returned.
func (s *shelf) fill(generation uint64, payload []byte, checksum uint64) (messenger.BlockRef, error) {
	b, ok := s.generations[generation]
	if !ok {
		return messenger.BlockRef{}, newError("write block", KindFreed, errors.Newf("generation %d was freed", generation))
	}
	b.payload = payload
	b.ref.Checksum = checksum
	b.state = stateWritten
	return b.ref, nil
}

// commit makes a written generation readable and frees the older one of its key.
func (s *shelf) commit(ref messenger.BlockRef) error {
	b, ok := s.generations[ref.Generation]
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
		s.free(b)
		return newError("commit block", KindGeneration, errors.Newf("block %v has the later generation %d", ref.Key, old.ref.Generation))
	}
	if old != nil && old != b {
		s.free(old)
	}
	b.state = stateCommitted
	s.committed[ref.Key] = b
	return nil
}

// read returns the block if exactly this generation is committed.
func (s *shelf) read(key identifier.BlockKey, generation uint64) (*block, error) {
	if b := s.generations[generation]; b != nil && b.ref.Key == key && b.state != stateCommitted {
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

// touch marks b as just used, which moves it to the memory tier.
func (s *shelf) touch(b *block) {
	if !b.onDisk {
		s.memory.MoveToFront(b.place)
		return
	}
	s.disk.Remove(b.place)
	b.onDisk = false
	b.place = s.memory.PushFront(b)
	s.spill()
}

// remove frees the generations of key; generation 0 stands for all.
func (s *shelf) remove(key identifier.BlockKey, generation uint64) int {
	n := 0
	for _, b := range s.generations {
		if b.ref.Key != key || (generation != 0 && generation != b.ref.Generation) {
			continue
		}
		s.free(b)
		n++
	}
	return n
}

// lookup lists the committed blocks of keys up to the first one that is missing.
func (s *shelf) lookup(keys []identifier.BlockKey) []messenger.LookupBlock {
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

// freeBlocks counts the blocks for which there is space without an eviction.
func (s *shelf) freeBlocks() int {
	return s.memoryBlocks + s.diskBlocks - s.memory.Len() - s.disk.Len()
}

// spill moves the blocks that the memory tier has no space for to the disk tier.
func (s *shelf) spill() {
	for s.memory.Len() > s.memoryBlocks {
		b := s.memory.Back().Value.(*block)
		if s.diskBlocks == 0 {
			s.evict(b)
			continue
		}
		s.memory.Remove(b.place)
		b.onDisk = true
		b.place = s.disk.PushFront(b)
	}
	for s.disk.Len() > s.diskBlocks {
		s.evict(s.disk.Back().Value.(*block))
	}
}

func (s *shelf) evict(b *block) {
	s.evicted++
	s.free(b)
}

func (s *shelf) free(b *block) {
	if b.onDisk {
		s.disk.Remove(b.place)
	} else {
		s.memory.Remove(b.place)
	}
	delete(s.generations, b.ref.Generation)
	if s.committed[b.ref.Key] == b {
		delete(s.committed, b.ref.Key)
	}
}

// String returns the numbers of blocks in the tiers.
func (s *shelf) String() string {
	return fmt.Sprintf("%d blocks in memory and %d on disk", s.memory.Len(), s.disk.Len())
}
