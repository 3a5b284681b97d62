package burst

import "github.com/bits-and-blooms/bitset"

const bitsPerWord = 64

// newChunkSet returns an empty set for the given number of chunks.
func newChunkSet(chunks int) *bitset.BitSet { return bitset.New(uint(chunks)) }

// addWords adds the chunks of a bitmap received from another process and calls added for each new
// one. It ignores bits beyond the last chunk.
func addWords(set *bitset.BitSet, words []uint64, added func(chunk int)) {
	own := set.Words()
	for i := range own {
		fresh := maskedWord(set, words, i) &^ own[i]
		own[i] |= fresh
		eachBit(fresh, i*bitsPerWord, added)
	}
}

// replaceWords makes the set equal to a bitmap received from another process and calls added and
// removed for each difference.
func replaceWords(set *bitset.BitSet, words []uint64, added, removed func(chunk int)) {
	own := set.Words()
	for i := range own {
		word := maskedWord(set, words, i)
		gone := own[i] &^ word
		fresh := word &^ own[i]
		own[i] = word
		eachBit(fresh, i*bitsPerWord, added)
		eachBit(gone, i*bitsPerWord, removed)
	}
}

// maskedWord returns word i of a received bitmap without the bits beyond the last chunk.
func maskedWord(set *bitset.BitSet, words []uint64, i int) uint64 {
	if i >= len(words) {
		return 0
	}
	last := set.Len() % bitsPerWord
	if i == len(set.Words())-1 && last != 0 {
		return words[i] & (1<<last - 1)
	}
	return words[i]
}

func eachBit(word uint64, base int, visit func(chunk int)) {
	for bit := 0; word != 0; bit++ {
		if word&1 != 0 {
			visit(base + bit)
		}
		word >>= 1
	}
}
