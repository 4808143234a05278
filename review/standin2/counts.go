package main

import (
	"errors"
	"fmt"
	"sync"
)

var errNotReady = errors.New("the entry machine didn't become ready")

// callCounts counts answers by status; 0 stands for no answer.
type callCounts struct {
	mu       sync.Mutex // guards byStatus
	byStatus map[int]int
}

func (c *callCounts) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byStatus == nil {
		c.byStatus = map[int]int{}
	}
	c.byStatus[status]++
}

// take returns the counts since the last call as text.
func (c *callCounts) take() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprint(c.byStatus)
	c.byStatus = map[int]int{}
	return text
}
