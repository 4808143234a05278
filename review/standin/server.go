package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// linkTime is the time there and back between two zones.
const linkTime = 2 * 900 * time.Microsecond

// server is a stand-in of a server of a service. Each start is another process: it knows nothing
// of the one before.
type server struct {
	rec     *record
	service service
	id      string
	zone    string
	address string

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	conns    map[net.Conn]bool
	born     time.Time
	draining bool
	// running and waiting are the numbers of requests; freed wakes those that wait.
	running, waiting int
	freed            *sync.Cond
	// secondAnswers is the share of the answers of which the server also sends a late copy.
	secondAnswers float64
	copies        int
	// runs is the number of times that each request began to run here, over all starts.
	runs map[string]int
}

func startServer(rec *record, s service, id, zone, address string) (*server, error) {
	x := &server{rec: rec, service: s, id: id, zone: zone, address: address, runs: map[string]int{}}
	x.freed = sync.NewCond(&x.mu)
	return x, x.start()
}

// start starts a process of the server at its address.
func (s *server) start() error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.conns, s.born, s.draining = ln, map[net.Conn]bool{}, time.Now(), false
	s.rec.note("server %s starts at %s", s.id, s.address)
	go s.accept(ln)
	return nil
}

// stop ends the process.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.rec.note("server %s ends", s.id)
}

// drain makes the server announce with each answer that it leaves.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *server) entry(state string) entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return entry{
		ID: s.id, Service: s.service.name, Address: s.address, Zone: s.zone, Version: "v1",
		Slots: s.service.slots, State: state, Born: s.born.UnixMilli(),
	}
}

// setSecondAnswers sets the share of the answers of which the server also sends a late copy.
func (s *server) setSecondAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secondAnswers = share
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return // the process has ended
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve serves one request at a time on a connection.
func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var late []byte
	var lateID string
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if late != nil {
			// The copy comes where the next answer is expected.
			if _, err := c.Write(late); err != nil {
				return
			}
			s.rec.note("server %s sends a second copy of its answer to %s before its answer to %s", s.id, lateID, req.Header.Get("Attempt-Id"))
			late = nil
		}
		time.Sleep(linkTime)
		answer := s.answer(req)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if s.drawCopy(req) {
			late, lateID = answer, req.Header.Get("Attempt-Id")
		}
	}
}

func (s *server) drawCopy(req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Header.Get("Attempt-Id") == "" || rand.Float64() >= s.secondAnswers {
		return false
	}
	s.copies++
	return true
}

// answer runs or refuses a request and returns the bytes of the answer.
func (s *server) answer(req *http.Request) []byte {
	id := req.Header.Get("Attempt-Id")
	if want := req.Header.Get("Target-Instance"); want != "" && want != s.id {
		return s.encode(id, http.StatusMisdirectedRequest, "", "")
	}
	if id == "" {
		return s.status(req)
	}
	if !s.begin(req, id) {
		return s.encode(id, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")
	}
	time.Sleep(s.service.work)
	s.mu.Lock()
	s.running--
	s.freed.Broadcast()
	s.mu.Unlock()
	body := fmt.Sprintf("%s %s ran at %s\n", req.Method, req.RequestURI, s.id)
	return s.encode(id, http.StatusOK, "Server-Signature: signed-by-"+s.id+"\r\n", body)
}

// status answers a request without an ID.
func (s *server) status(req *http.Request) []byte {
	if req.URL.Path != "/healthz" && req.URL.Path != "/report" {
		return s.encode("", http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	}
	s.mu.Lock()
	body := fmt.Sprintf(`{"running":%d,"waiting":%d,"born":%d}`, s.running, s.waiting, s.born.UnixMilli())
	s.mu.Unlock()
	return s.encode("", http.StatusOK, "Instance-Id: "+s.id+"\r\n", body)
}

// begin waits for a slot. It reports false if the request doesn't run: the server is full, or the
// request's time is over.
func (s *server) begin(req *http.Request, id string) bool {
	left, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	end := time.Now().Add(time.Duration(left) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.service.slots {
		if s.waiting >= s.service.queue {
			s.rec.note("server %s is full and refuses %s", s.id, id)
			return false
		}
		s.waiting++
		for s.running >= s.service.slots {
			s.freed.Wait()
		}
		s.waiting--
		if left > 0 && time.Now().After(end) {
			s.rec.note("server %s refuses %s, whose time is over", s.id, id)
			return false
		}
	}
	s.running++
	s.runs[id]++
	s.rec.note("server %s runs %s (run %d here)", s.id, id, s.runs[id])
	return true
}

func (s *server) encode(id string, status int, header, body string) []byte {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.service.slots)
	if s.draining {
		header += "Connection: close\r\n"
	}
	s.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "Instance-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s", load, header, len(body), body)
	return b.Bytes()
}
