package generation

import (
	"crypto/sha256"
	"encoding/binary"
)

// blockSize is the minimum size of the blocks in which a prefix is stored, in bytes.
const blockSize = 1 << 10

// prefix holds the committed tokens of one generation: those that this router released,
// and those that a resuming caller proved to have received. Tokens are stored
// length-prefixed in blocks, because a slice of strings needs more memory for its
// headers than for the text.
type prefix struct {
	blocks    [][]byte
	count     int
	bytes     int
	lastToken string
	// chainHash is the head of a hash chain over all tokens. The chain starts from a
	// secret that the routers share, so only they can compute it.
	chainHash [sha256.Size]byte
}

// append adds one token to the prefix and to the hash chain.
func (p *prefix) append(token string) {
	var size [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(size[:], uint64(len(token)))
	need := n + len(token)
	end := len(p.blocks) - 1
	if end < 0 || len(p.blocks[end])+need > cap(p.blocks[end]) {
		p.blocks = append(p.blocks, make([]byte, 0, max(blockSize, need)))
		end++
	}
	p.blocks[end] = append(append(p.blocks[end], size[:n]...), token...)
	p.count++
	p.bytes += len(token)
	p.lastToken = token
	p.extendChain(token)
}

// extendChain hashes one token into the chain.
func (p *prefix) extendChain(token string) {
	var buf [sha256.Size + 64]byte
	b := append(append(buf[:0], p.chainHash[:]...), token...)
	p.chainHash = sha256.Sum256(b)
}

// proof returns the first four bytes of the chain hash, which are sent to callers. They
// depend on the generation, the number of tokens and every token.
func (p *prefix) proof() uint32 {
	return binary.BigEndian.Uint32(p.chainHash[:])
}

// tokens returns a copy of all tokens.
func (p *prefix) tokens() []string {
	out := make([]string, 0, p.count)
	for _, b := range p.blocks {
		for len(b) > 0 {
			size, n := binary.Uvarint(b)
			out = append(out, string(b[n:n+int(size)]))
			b = b[n+int(size):]
		}
	}
	return out
}
