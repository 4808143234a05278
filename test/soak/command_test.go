package soak

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

// TestBadCommandLinesAreRefused: nothing is started for them.
func TestBadCommandLinesAreRefused(t *testing.T) {
	for name, args := range map[string][]string{
		"unknown flag":       {"-nothing"},
		"unknown argument":   {"now"},
		"no seeds":           {"-count", "0"},
		"no time":            {"-for", "0s"},
		"missing programs":   {"-programs", t.TempDir()},
		"not a seed":         {"-seed", "x"},
		"programs elsewhere": {"-programs", "no such folder"},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, run(t.Context(), args), exitUsage) })
	}
}

// TestProgramsThatDoNotServe: a system that never serves is an error, and all of it is
// ended.
func TestProgramsThatDoNotServe(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{keeperProgram, entryProgram} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte("not a program"), 0o700))
	}
	assert.Equal(t, run(t.Context(), []string{"-programs", folder, "-out", t.TempDir()}), exitUsage)
}

// TestInterruptedSoakLeavesItsLogs: it ends what it started and says where the logs are.
func TestInterruptedSoakLeavesItsLogs(t *testing.T) {
	folder, out := t.TempDir(), t.TempDir()
	for _, name := range []string{keeperProgram, entryProgram} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte("#!/bin/sh\nexec sleep 100\n"), 0o700))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Equal(t, run(ctx, []string{"-programs", folder, "-out", out, "-seed", "3"}), exitBroken)
	_, err := os.Stat(filepath.Join(out, "3", "entry 1.log"))
	assert.NilError(t, err)
}

func TestKnownSeeds(t *testing.T) {
	seeds, err := knownSeeds("# comment\n\n12 a cause\n7\n")
	assert.NilError(t, err)
	assert.DeepEqual(t, seeds, []uint64{12, 7})
	_, err = knownSeeds("x a cause\n")
	assert.ErrorContains(t, err, "x a cause")
	_, err = knownSeeds(regressions)
	assert.NilError(t, err)
}

func TestPlansAreDrawnFromTheSeed(t *testing.T) {
	for seed := range uint64(50) {
		plan := drawPlan(newRand(seed), 30*time.Second, 3, 2, 7)
		assert.DeepEqual(t, plan, drawPlan(newRand(seed), 30*time.Second, 3, 2, 7), cmp.AllowUnexported(step{}))
		last := -wipeDistance
		for _, s := range plan {
			if s.kind == troubleWipe {
				assert.Assert(t, s.at-last >= wipeDistance || last-s.at >= wipeDistance, "two disks are lost at once")
				last = s.at
			}
		}
	}
}

// TestProxy: what a proxy does to bytes.
func TestProxy(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	p, err := startProxy("127.0.0.1:0", echo.Addr().String())
	assert.NilError(t, err)
	defer p.close()
	conn := dial(t, p)
	assert.Equal(t, exchange(t, conn, time.Second), "ping")
	for _, e := range []effect{{holdForth: true}, {holdBack: true}} {
		p.set(e)
		assert.Equal(t, exchange(t, conn, 100*time.Millisecond), "", "nothing passes a cut")
		p.set(effect{})
		assert.Equal(t, receive(conn, time.Second), "ping", "what was held back comes after the cut")
	}
	p.set(effect{delay: 50 * time.Millisecond})
	begin := time.Now()
	assert.Equal(t, exchange(t, conn, time.Second), "ping")
	assert.Assert(t, time.Since(begin) >= 100*time.Millisecond)
	p.set(effect{refuse: true})
	refused, err := net.Dial("tcp", p.listener.Addr().String())
	if err == nil { // the reset may come before or after the dial has ended
		assert.Equal(t, receive(refused, time.Second), "", "a new connection is reset")
		assert.NilError(t, refused.Close())
	}
	p.set(effect{})
	p.reset()
	assert.Equal(t, receive(conn, time.Second), "", "an open connection is reset")
}

func dial(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func exchange(t *testing.T, c net.Conn, wait time.Duration) string {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	assert.NilError(t, err)
	return receive(c, wait)
}

// receive returns what comes within the time, empty for nothing.
func receive(c net.Conn, wait time.Duration) string {
	buffer := make([]byte, 4)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	n, _ := io.ReadFull(c, buffer)
	return string(buffer[:n])
}
