package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The load of the case "early".
const (
	earlyReplicas  = 4
	earlyConsumers = 6
	longBody       = 4_000_000 // the manifest allows 4,194,304
	readBeforeSend = 64 << 10  // what a replica has read of a long request when it answers
	receiveBuffer  = 16 << 10  // of a replica's channel
	answerFill     = 2000
	spoiltShare    = 0.5 // of the replicas
	spoiltEvery    = 20  // each such answer of these replicas breaks off: x = 0.05
	earlyTime      = 20 * time.Second
	spoiltFrom     = 5 * time.Second // of that time
	spoiltTime     = 5 * time.Second // for_s
	consumerWait   = 2500 * time.Millisecond
)

// earlyReplica answers long requests before it has read them, without a length, and reads on. It ends its
// answers with their channels.
type earlyReplica struct {
	entry    entry
	spoils   *atomic.Bool // some of its answers break off now
	faulty   bool
	answers  atomic.Int64
	brokeOff *sync.Map // by request id
	listener net.Listener
}

// early sends long requests to replicas of which some break off a few of their answers.
func early(b *bed) (bool, error) {
	for range 3 {
		b.addKeeper(true)
	}
	b.addEntry(0, memoryCeleste)
	var brokeOff sync.Map
	var spoils atomic.Bool
	var entries []entry
	for n := range earlyReplicas {
		r := &earlyReplica{
			entry: entry{
				ID: fmt.Sprintf("i-%d", n+1), Service: service, Zone: "zone-a", Version: "v1", Slots: slots, State: "ready",
				Address: fmt.Sprintf("%s.10.%d:%d", b.network, n+1, portReplica),
			},
			faulty: float64(n) < spoiltShare*earlyReplicas, spoils: &spoils, brokeOff: &brokeOff,
		}
		if err := r.listen(); err != nil {
			return false, err
		}
		defer func() { _ = r.listener.Close() }()
		entries = append(entries, r.entry)
	}
	b.list.set(entries)
	if err := b.start(); err != nil {
		return false, err
	}
	if err := b.putManifest(strings.Replace(manifest(1), `"type":"safe"`, `"type":"unsafe"`, 1)); err != nil {
		return false, err
	}
	if !waitUntil(startLimit, b.readiness(0).ask) {
		return false, errNotReady
	}
	b.record.line("the entry machine is ready")
	var counts callCounts
	var mixed atomic.Int64
	var crowd sync.WaitGroup
	end := time.Now().Add(earlyTime)
	for range earlyConsumers {
		crowd.Go(func() {
			client := newConsumer()
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				status, ok := b.sendLong(client, &brokeOff)
				counts.add(status)
				if !ok {
					mixed.Add(1)
				}
			}
		})
	}
	if b.trouble {
		time.Sleep(spoiltFrom)
		b.record.line("from now on replicas break off answers")
		spoils.Store(true)
		time.Sleep(spoiltTime)
		spoils.Store(false)
		b.record.line("no more answers are broken off")
	}
	crowd.Wait()
	total := 0
	brokeOff.Range(func(any, any) bool { total++; return true })
	b.record.line("answers by status %s; answers that replicas broke off: %d; successes without the whole answer: %d", counts.take(), total, mixed.Load())
	return mixed.Load() > 0, nil
}

// sendLong sends a long request and returns the status of the answer. ok is false if it is a success whose
// body isn't the whole answer.
func (b *bed) sendLong(client *http.Client, brokeOff *sync.Map) (status int, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), consumerWait)
	defer cancel()
	id := fmt.Sprintf("%016x", lastID.Add(1))
	url := fmt.Sprintf("http://%s:%d/look/%s", b.entryIP(0), portCallers, id)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, longBody)))
	if err != nil {
		return 0, true
	}
	q.Host = host
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(consumerWait.Milliseconds()))
	resp, err := client.Do(q)
	if err != nil {
		return 0, true
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(text) == earlyAnswer(id) {
		return resp.StatusCode, true
	}
	_, known := brokeOff.Load(id)
	b.record.line("request %s: 200 with signature %q, Content-Length %s and %d of %d bytes; the replica broke off: %v",
		id, resp.Header.Get("Server-Signature"), resp.Header.Get("Content-Length"), len(text), len(earlyAnswer(id)), known)
	return resp.StatusCode, false
}

// earlyAnswer is the body of the whole answer to a request.
func earlyAnswer(id string) string {
	return "answer to " + id + " " + strings.Repeat("z", answerFill) + " end"
}

// listen serves channels whose receive buffers are small, as on links with small windows.
func (r *earlyReplica) listen() error {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	var err error
	r.listener, err = config.Listen(context.Background(), "tcp", r.entry.Address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := r.listener.Accept()
			if err != nil {
				return // closed
			}
			go r.serve(c)
		}
	}()
	return nil
}

// serve serves one request.
func (r *earlyReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := q.Header.Get("Attempt-Id")
	switch want := q.Header.Get("Target-Instance"); {
	case id == "":
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	case want != "" && want != r.entry.ID:
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if _, err := io.CopyN(io.Discard, q.Body, readBeforeSend); err != nil {
		return
	}
	answer := earlyAnswer(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: signed by %s\r\nConnection: close\r\n\r\n", id, r.entry.ID)
	if r.faulty && r.spoils.Load() && r.answers.Add(1)%spoiltEvery == 0 {
		r.brokeOff.Store(id, true)
		_, _ = io.WriteString(c, head+answer[:len(answer)/2])
		time.Sleep(50 * time.Millisecond)
		return // the channel is closed with unread bytes, which resets it
	}
	_, _ = io.WriteString(c, head+answer)
	_, _ = io.Copy(io.Discard, q.Body) // reads on; the caller may have left
}
