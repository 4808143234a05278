package http1

import "sync"

// chunkList keeps chunks of maxChunkBytes from bodies that were not read completely, so that
// targets that send without end cause no garbage. A sync.Pool would lose them at each garbage
// collection, which is when bodies without end need them again. It is safe for concurrent use.
type chunkList struct {
	maxBytes int64 // the memory of the chunks that are kept

	mu   sync.Mutex // guards free
	free [][]byte
}

// get returns a chunk of size bytes, whose content is undefined.
func (l *chunkList) get(size int) []byte {
	if size == maxChunkBytes {
		if chunk := l.take(); chunk != nil {
			return chunk
		}
	}
	return make([]byte, size)
}

// take removes and returns a chunk, or nil.
func (l *chunkList) take() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.free) == 0 {
		return nil
	}
	last := len(l.free) - 1
	chunk := l.free[last]
	l.free[last] = nil // or the list would keep its memory
	l.free = l.free[:last]
	return chunk
}

// put keeps the chunks of maxChunkBytes, up to the limit, and drops the others.
func (l *chunkList) put(chunks [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, chunk := range chunks {
		if cap(chunk) == maxChunkBytes && int64(len(l.free)+1)*maxChunkBytes <= l.maxBytes {
			l.free = append(l.free, chunk[:maxChunkBytes])
		}
	}
}
