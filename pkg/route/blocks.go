package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Blocks splits the prompt into blocks of blockBytes and appends the hash of each to
// dst. An incomplete last block is left out. Each hash covers all blocks before it
// too, so equal hashes mean equal prefixes.
func Blocks(dst []uint64, prompt []byte, blockBytes int) []uint64 {
	var chain [8]byte
	var d xxhash.Digest
	for len(prompt) >= blockBytes && blockBytes > 0 {
		d.Reset()
		d.Write(chain[:]) // Write never returns an error
		d.Write(prompt[:blockBytes])
		sum := d.Sum64()
		dst = append(dst, sum)
		binary.LittleEndian.PutUint64(chain[:], sum)
		prompt = prompt[blockBytes:]
	}
	return dst
}
