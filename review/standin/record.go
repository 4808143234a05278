package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, with times since its start. It is safe
// for concurrent use.
type record struct {
	begin time.Time

	mu   sync.Mutex // guards the fields below
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return // a goroutine that outlived the case
	}
	fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	r.w = nil
}
