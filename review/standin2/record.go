package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what happened.
type record struct {
	begin time.Time
	mu    sync.Mutex // held while writing
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{begin: time.Now(), file: file}, err
}

// line writes a line, with the seconds since the case began, to the file and to the standard output.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(text)
	_, _ = r.file.WriteString(text) // the standard output has it as well
}

func (r *record) close() { _ = r.file.Close() }
