package generation

import (
	"crypto/sha256"
	"encoding/binary"
)

// blockSize is the size of the blocks in which a prefix is stored, in bytes.
const blockSize = 1 << 10

// prefix holds the tokens of one generation that were released, or that a caller
// proved to have been. Tokens are stored with their lengths in blocks, because
// a slice of strings would cost more than the text.
type prefix struct {
	blocks [][]byte
	count  int
	bytes  int
	last   string
	// link is the last link of a hash chain over all tokens. It starts from a
	// secret of the routers, so that only they can compute it.
	link [sha256.Size]byte
}

// append adds one token.
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
	p.last = token
	p.extend(token)
}

// extend adds one link to the chain.
func (p *prefix) extend(token string) {
	var buf [sha256.Size + 64]byte
	b := append(append(buf[:0], p.link[:]...), token...)
	p.link = sha256.Sum256(b)
}

// proof returns the part of the chain that callers are shown. It binds the
// generation, the number of tokens and every token.
func (p *prefix) proof() uint32 {
	return binary.BigEndian.Uint32(p.link[:])
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
