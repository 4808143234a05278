package clients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// client is what one client writes on its connection, which it then leaves open.
type client func(w io.Writer, number int) error

// attack runs the clients against an address and reports what the process needed. Connections that
// the process closes are not opened again.
func attack(t *testing.T, p *program, address string, count int, c client, memory float64, ordinary func(t *testing.T)) {
	t.Helper()
	before, descriptorsBefore := p.memory(t, "VmRSS"), p.descriptors()
	watch := watchDescriptors(p)
	var writers, readers sync.WaitGroup
	var conns []net.Conn
	for n := range count {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		conns = append(conns, conn)
		readers.Go(func() { _, _ = io.Copy(io.Discard, conn) }) // ends when either side closes
		writers.Go(func() { _ = c(conn, n) })                   // fails when the process closes the connection
	}
	written := make(chan struct{})
	go func() {
		writers.Wait()
		close(written)
	}()
	select {
	case <-written:
		time.Sleep(time.Second) // for the process to read the rest
	case <-time.After(loadTime):
	}
	if p.isRunning() {
		ordinary(t) // beside the clients, whose connections are still open
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	writers.Wait()
	readers.Wait()
	descriptors := watch.end()
	assert.Assert(t, p.isRunning(), "the process has ended")
	ordinary(t)

	growth, bound := p.memory(t, "VmHWM")-before, int64(growthShare*memory)
	mostDescriptors := descriptorsBefore + maxConnections + spareDescriptors
	t.Logf("memory grew by %.1f MB (bound %.1f MB) from %.1f MB; at most %d descriptors (bound %d)",
		float64(growth)/1e6, float64(bound)/1e6, float64(before)/1e6, descriptors, mostDescriptors)
	assert.Check(t, growth < bound, "memory")
	assert.Check(t, descriptors <= mostDescriptors, "descriptors")
}

// callHead returns the beginning of the head of a caller's request. The header section is open.
func callHead(number int) string {
	return fmt.Sprintf("POST /pay/fare HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: client-%d\r\nCredential: key-1\r\n", number)
}

// manyLines sends a request of legal size made of short lines.
func manyLines(line func(i int) string) client {
	return func(w io.Writer, number int) error {
		var b strings.Builder
		b.WriteString(callHead(number) + "Content-Length: 1000\r\n")
		// The entry VM counts a space after each colon.
		for i, counted := 0, b.Len(); counted < headerBytes-200; i++ {
			b.WriteString(line(i))
			counted += len(line(i)) + 1
		}
		b.WriteString("\r\n" + strings.Repeat("x", 999)) // the request stays open until the last byte
		_, err := io.WriteString(w, b.String())
		return err
	}
}

// TestCallersWithManyShortHeaders guards against an entry VM that runs out of memory because the
// parser needs many times the size of short header lines.
func TestCallersWithManyShortHeaders(t *testing.T) {
	s := startSystem(t)
	attack(t, s.entry, s.callerAt, maxHeadClients, manyLines(func(i int) string { return fmt.Sprintf("h%x:\r\n", i) }), entryMemory, s.callOrdinary)
}

// TestCallersWithOneHeaderManyTimes is the same for one name whose values the parser collects.
func TestCallersWithOneHeaderManyTimes(t *testing.T) {
	s := startSystem(t)
	attack(t, s.entry, s.callerAt, maxHeadClients, manyLines(func(int) string { return "a:\r\n" }), entryMemory, s.callOrdinary)
}

// TestCallersWithEndlessHeads guards against an entry VM that runs out of memory for heads above the
// limit.
func TestCallersWithEndlessHeads(t *testing.T) {
	s := startSystem(t)
	endless := func(w io.Writer, number int) error {
		_, err := io.WriteString(w, callHead(number))
		for sent := 0; err == nil && sent < endlessHeaderBytes; sent += 4 << 10 {
			_, err = io.WriteString(w, strings.Repeat("a:\r\n", 1<<10))
		}
		return err
	}
	attack(t, s.entry, s.callerAt, maxHeadClients, endless, entryMemory, s.callOrdinary)
}

// TestCallersWithEndlessEmptyLines guards against an entry VM that reads empty lines before a request
// without end.
func TestCallersWithEndlessEmptyLines(t *testing.T) {
	s := startSystem(t)
	endless := func(w io.Writer, _ int) error {
		var err error
		for sent := 0; err == nil && sent < endlessHeaderBytes; sent += 4 << 10 {
			_, err = io.WriteString(w, strings.Repeat("\r\n", 2<<10))
		}
		return err
	}
	attack(t, s.entry, s.callerAt, maxHeadClients, endless, entryMemory, s.callOrdinary)
}

// Ways to send a body of which the last byte is missing, after the head of a request.

func bodyWithLength(size int) func(w io.Writer) error {
	return func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", size); err != nil {
			return err
		}
		_, err := w.Write(bytes.Repeat([]byte("x"), size-1))
		return err
	}
}

func bodyInOneChunk(size int) func(w io.Writer) error {
	return func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", size); err != nil {
			return err
		}
		_, err := w.Write(bytes.Repeat([]byte("x"), size-1))
		return err
	}
}

func bodyInSmallChunks(size int) func(w io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		const chunk = 512
		chunks := bytes.Repeat([]byte(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))), size/chunk)
		_, err := w.Write(chunks[:len(chunks)-3]) // a byte and the end of the line are missing
		return err
	}
}

// bodies are the framings of an unfinished body of legal size.
func bodies(size int) map[string]func(w io.Writer) error {
	return map[string]func(w io.Writer) error{
		"length": bodyWithLength(size), "one chunk": bodyInOneChunk(size), "small chunks": bodyInSmallChunks(size),
	}
}

// TestCallersWithUnfinishedBodies guards against an entry VM that runs out of memory for many large
// bodies that never end.
func TestCallersWithUnfinishedBodies(t *testing.T) {
	for name, send := range bodies(bodyBytes) {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			unfinished := func(w io.Writer, number int) error {
				if _, err := io.WriteString(w, callHead(number)); err != nil {
					return err
				}
				return send(w)
			}
			attack(t, s.entry, s.callerAt, maxBodyClients, unfinished, entryMemory, s.callOrdinary)
		})
	}
}

// TestOperatorsWithUnfinishedConfigurations is the same for configurations at the operators' port of
// a control VM.
func TestOperatorsWithUnfinishedConfigurations(t *testing.T) {
	for name, send := range bodies(keeperBodyBytes) {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			unfinished := func(w io.Writer, _ int) error {
				if _, err := io.WriteString(w, "PUT /config HTTP/1.1\r\nHost: control\r\n"); err != nil {
					return err
				}
				return send(w)
			}
			attack(t, s.keeper, s.operatorAddress, maxKeeperClients, unfinished, keeperMemory, s.declare)
		})
	}
}

// TestMonitorPortsWithEndlessHeads guards against processes that run out of memory or descriptors at the ports
// of their health and metrics, which have fewer connections than those of callers and operators.
func TestMonitorPortsWithEndlessHeads(t *testing.T) {
	s := startSystem(t)
	endless := func(w io.Writer, _ int) error {
		_, err := io.WriteString(w, "GET /metrics HTTP/1.1\r\nHost: h\r\n")
		for sent := 0; err == nil && sent < endlessHeaderBytes; sent += 4 << 10 {
			_, err = io.WriteString(w, strings.Repeat("a:\r\n", 1<<10))
		}
		return err
	}
	attack(t, s.entry, s.monitorAt, maxHeadClients, endless, entryMemory, s.callOrdinary)
	attack(t, s.keeper, s.keeperMonitorAt, maxHeadClients, endless, keeperMemory, s.declare)
}

// TestPeerPortsWithEndlessHeads is the same for the ports at which processes reach each other. They have more
// connections, so that only as many clients connect as the others may.
func TestPeerPortsWithEndlessHeads(t *testing.T) {
	s := startSystem(t)
	endless := func(w io.Writer, _ int) error {
		_, err := io.WriteString(w, "POST /x HTTP/1.1\r\nHost: h\r\n")
		for sent := 0; err == nil && sent < endlessHeaderBytes; sent += 4 << 10 {
			_, err = io.WriteString(w, strings.Repeat("a:\r\n", 1<<10))
		}
		return err
	}
	attack(t, s.entry, s.relayAt, maxConnections, endless, entryMemory, s.callOrdinary)
	attack(t, s.keeper, s.peersAt, maxConnections, endless, keeperMemory, s.declare)
}
