package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/abort"
)

// TestInvalidCommandLines checks that invalid arguments are reported and nothing is
// started.
func TestInvalidCommandLines(t *testing.T) {
	for name, args := range map[string][]string{
		"unknown flag":       {"-nothing"},
		"unknown argument":   {"now"},
		"no seeds":           {"-count", "0"},
		"no time":            {"-for", "0s"},
		"missing programs":   {"-programs", t.TempDir()},
		"not a seed":         {"-seed", "x"},
		"programs elsewhere": {"-programs", "no such folder"},
		"no older programs":  {"-old", "no such folder"},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, run(t.Context(), args), exitUsage) })
	}
}

// TestProgramsThatDoNotStart checks that programs that cannot be run are an error, and
// that everything that was started is stopped.
func TestProgramsThatDoNotStart(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{keeperProgram, entryProgram} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte("not a program"), 0o700))
	}
	assert.Equal(t, run(t.Context(), []string{"-programs", folder, "-out", t.TempDir()}), exitUsage)
}

// TestInterruptedRunKeepsLogs checks that an interrupted run stops its processes and
// keeps their logs.
func TestInterruptedRunKeepsLogs(t *testing.T) {
	folder, out := t.TempDir(), t.TempDir()
	for _, name := range []string{keeperProgram, entryProgram} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte("#!/bin/sh\nexec sleep 100\n"), 0o700))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Equal(t, run(ctx, []string{"-programs", folder, "-out", out, "-seed", "3"}), exitViolations)
	_, err := os.Stat(filepath.Join(out, "3", "entry 1.log"))
	assert.NilError(t, err)
}

func TestParseSeeds(t *testing.T) {
	seeds, err := parseSeeds("# comment\n\n12 a cause\n7\n")
	assert.NilError(t, err)
	assert.DeepEqual(t, seeds, []uint64{12, 7})
	_, err = parseSeeds("x a cause\n")
	assert.ErrorContains(t, err, "x a cause")
	_, err = parseSeeds(regressions)
	assert.NilError(t, err)
}

func TestPlanIsDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		plan := newPlan(newRand(seed), 30*time.Second, 3, 2, 7)
		assert.DeepEqual(t, plan, newPlan(newRand(seed), 30*time.Second, 3, 2, 7), cmp.AllowUnexported(plannedFault{}))
		lastWipe := -minWipeInterval
		for _, f := range plan {
			if f.kind == faultWipe {
				assert.Assert(t, f.at-lastWipe >= minWipeInterval || lastWipe-f.at >= minWipeInterval, "two disk losses within minWipeInterval")
				lastWipe = f.at
			}
		}
	}
}

// TestCutsArePlanned guards against seeds that never cut a zone, several VMs, all targets, one
// service, or that cut in one way only.
func TestCutsArePlanned(t *testing.T) {
	kinds, services, members, overlaps := map[string]bool{}, map[string]bool{}, map[string]bool{}, 0
	for seed := range uint64(50) {
		plan := newCutFaults(newCutRand(seed), 30*time.Second, 3, 4)
		assert.DeepEqual(t, plan, newCutFaults(newCutRand(seed), 30*time.Second, 3, 4), cmp.AllowUnexported(plannedFault{}))
		cutAt := map[time.Duration][]int{}
		for i, f := range plan {
			if !isCut(f.kind) {
				continue
			}
			kinds[f.kind], services[f.service] = true, true
			cutAt[f.at] = append(cutAt[f.at], f.entry)
			for _, other := range plan[:i] {
				if isCut(other.kind) && other.entry == f.entry && other.at < f.at+f.duration && f.at < other.at+other.duration {
					overlaps++
				}
			}
		}
		for _, entries := range cutAt {
			slices.Sort(entries)
			members[fmt.Sprint(entries)] = true
		}
	}
	assert.Equal(t, len(kinds), len(cutKinds))
	assert.Equal(t, len(services), 3)
	for _, m := range []string{"[0]", "[3]", "[0 3]", "[1 2]", "[0 1 2 3]"} {
		assert.Assert(t, members[m], "entry VMs %s are never cut", m)
	}
	assert.Assert(t, overlaps > 0)
}

// TestProxy checks each state of a link.
func TestProxy(t *testing.T) {
	p := startEchoProxy(t)
	conn := dial(t, p)
	assert.Equal(t, exchange(t, conn, time.Second), "ping")
	for _, e := range []linkState{{holdInbound: true}, {holdOutbound: true}} {
		p.setState(e)
		assert.Equal(t, exchange(t, conn, 100*time.Millisecond), "", "a held direction passed bytes")
		p.setState(linkState{})
		assert.Equal(t, receive(conn, time.Second), "ping", "held bytes were not delivered afterwards")
	}
	p.setState(linkState{delay: 50 * time.Millisecond})
	begin := time.Now()
	assert.Equal(t, exchange(t, conn, time.Second), "ping")
	assert.Assert(t, time.Since(begin) >= 100*time.Millisecond)
	p.setState(linkState{refuse: true})
	refused, err := net.Dial("tcp", p.listener.Addr().String())
	if err == nil { // the reset may come before or after the dial has returned
		assert.Equal(t, receive(refused, time.Second), "", "a new connection was not reset")
		assert.NilError(t, refused.Close())
	}
	p.setState(linkState{})
	p.reset()
	assert.Equal(t, receive(conn, time.Second), "", "an open connection was not reset")
}

// TestHeldBytesOfAResetConnectionAreLost guards against links on which a request that an entry VM has given up
// arrives in any case, so that the soak can't tell a reset from a close.
func TestHeldBytesOfAResetConnectionAreLost(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(conn net.Conn) error
		received string
	}{
		"closed": {net.Conn.Close, "late"},
		"reset":  {abort.Close, ""},
	} {
		t.Run(name, func(t *testing.T) {
			target, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = target.Close() }()
			p, err := startProxy("127.0.0.1:0", target.Addr().String())
			assert.NilError(t, err)
			defer p.close()
			held := make(chan string, 1)
			p.setOnHold(func(bytes []byte) { held <- string(bytes) })
			p.setState(linkState{holdInbound: true})
			conn := dial(t, p)
			_, err = io.WriteString(conn, "late")
			assert.NilError(t, err)
			far, err := target.Accept()
			assert.NilError(t, err)
			defer func() { _ = far.Close() }()
			assert.Equal(t, <-held, "late")
			assert.NilError(t, c.end(conn))
			time.Sleep(50 * time.Millisecond) // a reset on loopback has arrived
			p.setState(linkState{})
			assert.Equal(t, receive(far, time.Second), c.received)
		})
	}
}

// startEchoProxy starts a proxy in front of a server that sends back what it receives.
func startEchoProxy(t *testing.T) *proxy {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = echo.Close() })
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
	t.Cleanup(p.close)
	return p
}

func dial(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	return dialFrom(t, p, "127.0.0.1")
}

func dialFrom(t *testing.T, p *proxy, ip string) net.Conn {
	t.Helper()
	c, err := dialer(ip).Dial("tcp", p.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func dialer(ip string) *net.Dialer {
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}

func exchange(t *testing.T, c net.Conn, wait time.Duration) string {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	assert.NilError(t, err)
	return receive(c, wait)
}

// receive returns what is received within the time, empty for nothing.
func receive(c net.Conn, wait time.Duration) string {
	buffer := make([]byte, 4)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	n, _ := io.ReadFull(c, buffer)
	return string(buffer[:n])
}
